package org.wheatwall.core.batch.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * State of a group of tasks, as recorded in the job log.
 *
 * @param run number of the latest run, or 0 before the first
 * @param failures number of failed runs
 * @param lastFailedRun number of the latest failed run, or 0 if none; several failed tasks of a run
 *     count once
 * @param members members of the latest run, by position of the task. While the group waits, they
 *     are kept only if no task of it can have begun in any run
 * @param checkpoint checkpoint from which the next run resumes, or empty to start over
 * @param losses runs lost with their workers, for each task that has lost any
 */
public record GroupState(
    GroupPhase phase,
    int run,
    int failures,
    int lastFailedRun,
    List<GroupMember> members,
    String checkpoint,
    List<TaskLosses> losses) {
  /** State of a group that was never started. */
  public static final GroupState NEW =
      new GroupState(GroupPhase.WAITING, 0, 0, 0, List.of(), "", List.of());

  /** State of a done group whose runs are not known any more. */
  public static final GroupState DONE =
      new GroupState(GroupPhase.DONE, 0, 0, 0, List.of(), "", List.of());

  /** Copies the lists. */
  public GroupState {
    Objects.requireNonNull(phase);
    Objects.requireNonNull(checkpoint);
    members = List.copyOf(members);
    losses = List.copyOf(losses);
  }

  /** Returns the state with the next run active on {@code workers}. */
  public GroupState withRunStarted(List<String> workers) {
    List<GroupMember> next = workers.stream().map(GroupMember::active).toList();
    return new GroupState(
        GroupPhase.ACTIVE, run + 1, failures, lastFailedRun, next, checkpoint, losses);
  }

  /** Returns the state with {@code failedRun} counted as failed; each run counts once. */
  public GroupState withFailure(int failedRun) {
    if (failedRun <= lastFailedRun) {
      return this;
    }
    return new GroupState(phase, run, failures + 1, failedRun, members, checkpoint, losses);
  }

  /** Returns the state with a new checkpoint, or unchanged if {@code saved} is empty. */
  public GroupState withCheckpoint(String nextCheckpoint) {
    String next = nextCheckpoint.isEmpty() ? checkpoint : nextCheckpoint;
    return new GroupState(phase, run, failures, lastFailedRun, members, next, losses);
  }

  /** Returns the state with the member at {@code position} ended. */
  public GroupState withMemberEnded(int position) {
    List<GroupMember> next = new ArrayList<>(members);
    next.set(position, new GroupMember(next.get(position).worker(), true));
    return new GroupState(phase, run, failures, lastFailedRun, next, checkpoint, losses);
  }

  /** Returns the state in a phase without an active run. */
  public GroupState withoutActiveRun(GroupPhase next) {
    return new GroupState(next, run, failures, lastFailedRun, List.of(), checkpoint, losses);
  }

  /**
   * Returns the state after a run of which no task began, in a group of which none had begun
   * before.
   */
  public GroupState withoutBegunRun() {
    List<GroupMember> refused =
        members.stream().map(member -> new GroupMember(member.worker(), true)).toList();
    return new GroupState(
        GroupPhase.WAITING, run, failures, lastFailedRun, refused, checkpoint, losses);
  }

  /** Returns whether a task of the group may have begun, in its latest run or an earlier one. */
  public boolean mayHaveBegun() {
    boolean neverRan = run == 0 || !members.isEmpty();
    return phase != GroupPhase.WAITING || failures > 0 || !neverRan;
  }

  /** Returns the state with {@code lostRun} counted as lost with the worker of a task. */
  public GroupState withLoss(int lostRun, int position, LossKind kind) {
    return withLosses(lossesOf(position).withLoss(kind, lostRun));
  }

  /** Returns the state without the losses of the task at {@code position}. */
  public GroupState withLossesCleared(int position) {
    return withLosses(TaskLosses.none(position));
  }

  /** Returns whether a task is suspected of crashing workers. */
  public boolean suspect() {
    return losses.stream().anyMatch(TaskLosses::suspect);
  }

  /** Returns whether a task has lost so many workers that no further run may start. */
  public boolean hasTooManyLosses() {
    return losses.stream().anyMatch(TaskLosses::hasTooManyLosses);
  }

  private TaskLosses lossesOf(int position) {
    return losses.stream()
        .filter(known -> known.position() == position)
        .findFirst()
        .orElse(TaskLosses.none(position));
  }

  private GroupState withLosses(TaskLosses changed) {
    List<TaskLosses> next = new ArrayList<>(losses);
    next.removeIf(known -> known.position() == changed.position());
    if (changed.lost() > 0) {
      next.add(changed);
    }
    return new GroupState(phase, run, failures, lastFailedRun, members, checkpoint, next);
  }
}
