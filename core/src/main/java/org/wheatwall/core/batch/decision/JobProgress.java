package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.StepSpec;

/** Tracks the progress of one job: which of its groups may start, and which are done. */
final class JobProgress {
  private final BatchJob job;
  private final long submittedAtMs;
  private final Map<GroupKey, GroupState> states = new HashMap<>();
  private final Set<GroupKey> submitted = new HashSet<>();
  private final List<Occurrence> occurrences = new ArrayList<>();
  private boolean closed;

  /** The progress of one occurrence of a recurring job. */
  private static final class Occurrence {
    private final int[] doneGroups;
    private final boolean[] released;

    private Occurrence(int steps) {
      doneGroups = new int[steps];
      released = new boolean[steps];
    }
  }

  /**
   * Creates the progress of a job.
   *
   * @param submittedAtMs time of acceptance, milliseconds of the decision loop's monotonic clock
   */
  JobProgress(BatchJob job, long submittedAtMs) {
    this.job = job;
    this.submittedAtMs = submittedAtMs;
  }

  BatchJob job() {
    return job;
  }

  /** Returns when the job was accepted, milliseconds of the decision loop's monotonic clock. */
  long submittedAtMs() {
    return submittedAtMs;
  }

  GroupState state(GroupKey group) {
    return states.getOrDefault(group, GroupState.NEW);
  }

  /** Returns the groups that have a state. */
  Map<GroupKey, GroupState> states() {
    return states;
  }

  /** Sets the state of a group; counts a done group only once. */
  void setState(GroupKey group, GroupState state) {
    GroupState before = states.put(group, state);
    boolean wasDone = before != null && before.phase() == GroupPhase.DONE;
    if (state.phase() == GroupPhase.DONE && !wasDone) {
      occurrence(group.occurrence()).doneGroups[group.step()]++;
    }
  }

  /** Records that a group was submitted to the scheduler. */
  void recordSubmitted(GroupKey group) {
    submitted.add(group);
  }

  /** Returns every group that was ever submitted to the scheduler. */
  Set<GroupKey> submitted() {
    return submitted;
  }

  /** Returns whether the job has ended, so that none of its groups may start. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /** Returns the waiting groups of steps that have become ready since the last call. */
  List<GroupKey> releaseReadyGroups(long wallMs, long earlyMs) {
    List<GroupKey> ready = new ArrayList<>();
    if (closed) {
      return ready;
    }
    for (int k = 0; k < job.occurrences(); k++) {
      Optional<Long> due = job.dueMs(k);
      if (due.isPresent() && wallMs < due.get() - earlyMs) {
        break;
      }
      releaseSteps(k, occurrence(k), ready);
    }
    return ready;
  }

  /** Returns whether every group of every occurrence is done. */
  boolean allDone() {
    if (occurrences.size() < job.occurrences()) {
      return false;
    }
    for (Occurrence occurrence : occurrences) {
      for (int step = 0; step < job.steps().size(); step++) {
        if (!isStepDone(occurrence, step)) {
          return false;
        }
      }
    }
    return true;
  }

  private void releaseSteps(int k, Occurrence occurrence, List<GroupKey> ready) {
    for (int step = 0; step < job.steps().size(); step++) {
      StepSpec spec = job.steps().get(step);
      boolean unblocked = spec.after().stream().allMatch(before -> isStepDone(occurrence, before));
      if (occurrence.released[step] || !unblocked) {
        continue;
      }
      occurrence.released[step] = true;
      for (int i = 0; i < spec.groups(); i++) {
        GroupKey group = new GroupKey(job.id(), k, step, spec.gang() ? GroupKey.WHOLE_STEP : i);
        if (state(group).phase() == GroupPhase.WAITING) {
          ready.add(group);
        }
      }
    }
  }

  private boolean isStepDone(Occurrence occurrence, int step) {
    return occurrence.doneGroups[step] >= job.steps().get(step).groups();
  }

  private Occurrence occurrence(int k) {
    while (occurrences.size() <= k) {
      occurrences.add(new Occurrence(job.steps().size()));
    }
    return occurrences.get(k);
  }
}
