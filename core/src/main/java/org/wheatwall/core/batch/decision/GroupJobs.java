package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.RunTimeEstimator;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;

/** Describes groups of tasks as jobs of the scheduler. */
final class GroupJobs {
  /** The one zone of the scheduler's cluster: a service's workers in all availability zones. */
  static final String ZONE = "all";

  /** Label by which run times are learned, see {@link RunTimeEstimator#CLASS_LABEL}. */
  private static final String CLASS = RunTimeEstimator.CLASS_LABEL;

  private static final String SERVICE_LABEL_PREFIX = "service/";
  private static final int MS_PER_SECOND = 1000;

  private GroupJobs() {}

  /** Returns the label that workers of a service carry. */
  static String serviceLabel(String service) {
    return SERVICE_LABEL_PREFIX + service;
  }

  /**
   * Returns the scheduler's view of a group.
   *
   * @param avoided workers on which the group failed before
   * @param rackAccelerators accelerators of the largest rack; a gang that needs more is not kept in
   *     one
   */
  static Job of(
      BatchJob job, StepSpec step, GroupKey group, Set<String> avoided, int rackAccelerators) {
    int tasks = step.tasksInGroup();
    boolean oneRack =
        step.sameRack() && tasks * step.taskAmount().accelerators() <= rackAccelerators;
    int seconds = Math.max(1, (step.estimateMs() + MS_PER_SECOND / 2) / MS_PER_SECOND);
    Optional<String> spread =
        step.spreadLimit() > 0
            ? Optional.of(job.id() + "." + group.occurrence() + "." + group.step())
            : Optional.empty();
    Set<String> hostLabels = new HashSet<>();
    hostLabels.add(serviceLabel(job.service()));
    step.hostLabel().ifPresent(hostLabels::add);
    JobOptions options =
        new JobOptions(
            job.priority(),
            hostLabels,
            step.dataRack(),
            spread,
            step.spreadLimit(),
            step.checkpointing(),
            avoided);
    return new Job(
        new Labels(Map.of(CLASS, job.queue())),
        job.workspace(),
        ZONE,
        Optional.empty(),
        tasks,
        step.taskAmount(),
        oneRack ? Adjacency.SAME_RACK : Adjacency.ANY,
        seconds,
        true,
        job.urgent(),
        JobPhase.SUBMITTED,
        options);
  }
}
