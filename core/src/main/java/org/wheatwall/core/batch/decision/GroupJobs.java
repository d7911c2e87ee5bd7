package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.RunTimeEstimator;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Converts groups of tasks to jobs of the scheduler. Long-running tasks are never preempted: their
 * submitters tolerate only a limited number of tasks that the platform makes unavailable, often
 * none.
 */
final class GroupJobs {
  /**
   * The only zone of the scheduler's cluster: it contains the workers of all availability zones.
   */
  static final String ZONE = "all";

  /** Label by which run times are grouped, see {@link RunTimeEstimator#CLASS_LABEL}. */
  private static final String CLASS_LABEL = RunTimeEstimator.CLASS_LABEL;

  private static final String SERVICE_LABEL_PREFIX = "service/";
  private static final int MS_PER_SECOND = 1000;

  // A host that may not run a task has a capacity of zero for it, which would hold any number of
  // tasks without demands. Processors are counted in thousandths of a core.
  private static final ResourceAmount SMALLEST_DEMAND = new ResourceAmount(1, 0, 0);

  private GroupJobs() {}

  /** Returns the label of the workers of a service. */
  static String serviceLabel(String service) {
    return Names.toLabelText(SERVICE_LABEL_PREFIX + service);
  }

  /**
   * Returns the scheduler's job for a group.
   *
   * @param permitted the workers that may run the group; any worker if empty
   * @param suspect whether a worker crashed at the start of one of its tasks
   */
  static Job of(
      BatchJob job,
      GroupKey group,
      PlacementPreferences preferences,
      Optional<Set<String>> permitted,
      boolean suspect) {
    StepSpec step = job.steps().get(group.step());
    int tasks = step.tasksInGroup();
    long roundedSeconds = ((long) step.estimateMs() + MS_PER_SECOND / 2) / MS_PER_SECOND;
    int seconds = (int) Math.max(1, Math.min(Job.MAX_SECONDS, roundedSeconds));
    Optional<String> spread =
        step.spreadLimit() > 0
            ? Optional.of(job.id() + "." + group.occurrence() + "." + group.step())
            : Optional.empty();
    Set<String> hostLabels = new HashSet<>();
    hostLabels.add(serviceLabel(job.service()));
    step.hostLabel().map(Names::toLabelText).ifPresent(hostLabels::add);
    JobOptions options =
        new JobOptions(
            job.priority(),
            hostLabels,
            preferences.dataRack().map(Names::toValidName),
            spread,
            step.spreadLimit(),
            step.checkpointing(),
            preferences.avoided(),
            step.sharing(),
            permitted,
            suspect,
            step.longRunning());
    return new Job(
        new Labels(Map.of(CLASS_LABEL, Names.toLabelText(job.queue()))),
        Names.toValidName(job.workspace()),
        ZONE,
        Optional.empty(),
        tasks,
        step.taskAmount().equals(ResourceAmount.ZERO) ? SMALLEST_DEMAND : step.taskAmount(),
        preferences.oneRack() ? Adjacency.SAME_RACK : Adjacency.ANY,
        seconds,
        !step.longRunning(),
        job.urgent(),
        JobPhase.SUBMITTED,
        options);
  }
}
