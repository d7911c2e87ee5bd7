package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.StepSpec;

/**
 * The work that waits, by priority, derived from the records of the job log. Every entry host keeps
 * one from its replica, so that it can judge new jobs without asking the decider.
 *
 * <p>Work is counted in accelerator-milliseconds of the submitters' estimates. Long-running and
 * recurring jobs are not counted. Not thread-safe; the decision loop owns it.
 */
public final class BacklogTracker {
  private final Map<String, OpenJob> jobs = new HashMap<>();
  private final TreeMap<Integer, Long> waitingWorkByPriority = new TreeMap<>();

  /** A job that has not ended, and the part of its work that waits. */
  private static final class OpenJob {
    private final BatchJob job;
    private long waitingWork;

    private OpenJob(BatchJob job) {
      this.job = job;
    }
  }

  /** Returns whether the work of a job is counted. */
  public static boolean isCounted(BatchJob job) {
    return job.recurrence().isEmpty() && job.steps().stream().noneMatch(StepSpec::longRunning);
  }

  /** Returns the work of a job, accelerator-milliseconds. */
  public static long workOf(BatchJob job) {
    return job.steps().stream().mapToLong(step -> workOfGroup(step) * step.groups()).sum();
  }

  private static long workOfGroup(StepSpec step) {
    return (long) step.tasksInGroup() * step.taskAmount().accelerators() * step.estimateMs();
  }

  /** Adds an accepted job; has no effect if it is known. */
  public void addJob(BatchJob job) {
    if (isCounted(job) && !jobs.containsKey(job.id())) {
      OpenJob open = new OpenJob(job);
      jobs.put(job.id(), open);
      addWork(open, workOf(job));
    }
  }

  /** Removes a job that has ended or was cancelled. */
  public void removeJob(String jobId) {
    OpenJob open = jobs.remove(jobId);
    if (open != null) {
      addWork(open, -open.waitingWork);
    }
  }

  /** Applies a change of a group; an empty state is that of a group that has not started. */
  public void onGroupChanged(
      GroupKey group, Optional<GroupState> before, Optional<GroupState> after) {
    OpenJob open = jobs.get(group.jobId());
    // The state of a done group may be dropped while its job goes on.
    boolean dropped = after.isEmpty() && before.filter(BacklogTracker::isDone).isPresent();
    if (open == null || dropped || group.step() >= open.job.steps().size()) {
      return;
    }
    boolean waitsAfter = isWaiting(after);
    if (isWaiting(before) != waitsAfter) {
      long work = workOfGroup(open.job.steps().get(group.step()));
      addWork(open, waitsAfter ? work : -work);
    }
  }

  private static boolean isDone(GroupState state) {
    return state.phase() == GroupPhase.DONE;
  }

  private static boolean isWaiting(Optional<GroupState> state) {
    return state.map(GroupState::phase).orElse(GroupPhase.WAITING) == GroupPhase.WAITING;
  }

  /** Applies the states of the groups of a job that was added. */
  public void onGroupsRead(JobRecord record) {
    OpenJob open = jobs.get(record.id());
    if (open == null) {
      return;
    }
    Map<GroupKey, GroupState> groups = record.groups();
    groups.forEach((group, state) -> onGroupChanged(group, Optional.empty(), Optional.of(state)));
    FoldedGroups folded = new FoldedGroups(new GroupNumbering(open.job));
    record.doneGroups().ifPresent(folded::restore);
    folded.forEachOfOpenOccurrences(
        group -> {
          if (!groups.containsKey(group)) {
            onGroupChanged(group, Optional.empty(), Optional.of(GroupState.DONE));
          }
        });
  }

  /** Removes all jobs. */
  public void clear() {
    jobs.clear();
    waitingWorkByPriority.clear();
  }

  /**
   * Returns the waiting work of the priorities above one, accelerator-milliseconds. Whatever the
   * order within a priority, this work goes ahead of a new job.
   */
  public long workAbove(int priority) {
    return waitingWorkByPriority.headMap(priority, false).values().stream()
        .mapToLong(Long::longValue)
        .sum();
  }

  private void addWork(OpenJob open, long work) {
    open.waitingWork += work;
    waitingWorkByPriority.merge(
        open.job.priority(), work, (old, added) -> old + added == 0 ? null : old + added);
  }
}
