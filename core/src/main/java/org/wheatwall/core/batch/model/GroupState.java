package org.wheatwall.core.batch.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What the log says about a group of tasks.
 *
 * @param run number of the latest run, 0 before the first
 * @param failures runs that ended failed
 * @param lastFailedRun number of the latest run that ended failed, 0 if none; several tasks of one
 *     run count once
 * @param members workers of the latest run, by position of the task
 * @param checkpoint from where the next run goes on, empty for the start
 * @param losses runs that were lost with their worker, by task; none for tasks that lost none
 */
public record GroupState(
    GroupPhase phase,
    int run,
    int failures,
    int lastFailedRun,
    List<GroupMember> members,
    String checkpoint,
    List<TaskLosses> losses) {
  /** A group that was never started. */
  public static final GroupState NEW =
      new GroupState(GroupPhase.WAITING, 0, 0, 0, List.of(), "", List.of());

  /** Copies the members. */
  public GroupState {
    Objects.requireNonNull(phase);
    Objects.requireNonNull(checkpoint);
    members = List.copyOf(members);
    losses = List.copyOf(losses);
  }

  /** Returns the state once the next run is intended on {@code workers}. */
  public GroupState withRunStarted(List<String> workers) {
    List<GroupMember> next = workers.stream().map(GroupMember::active).toList();
    return new GroupState(
        GroupPhase.ACTIVE, run + 1, failures, lastFailedRun, next, checkpoint, losses);
  }

  /** Returns the state after a failed end of {@code failedRun}, which counts once. */
  public GroupState withFailure(int failedRun) {
    if (failedRun <= lastFailedRun) {
      return this;
    }
    return new GroupState(phase, run, failures + 1, failedRun, members, checkpoint, losses);
  }

  /** Returns the state with a checkpoint; an empty one changes nothing. */
  public GroupState withCheckpoint(String saved) {
    String next = saved.isEmpty() ? checkpoint : saved;
    return new GroupState(phase, run, failures, lastFailedRun, members, next, losses);
  }

  /** Returns the state with the member at {@code position} ended. */
  public GroupState withMemberEnded(int position) {
    List<GroupMember> next = new ArrayList<>(members);
    next.set(position, new GroupMember(next.get(position).worker(), true));
    return new GroupState(phase, run, failures, lastFailedRun, next, checkpoint, losses);
  }

  /** Returns the state in a phase without a run under way. */
  public GroupState withoutActiveRun(GroupPhase next) {
    return new GroupState(next, run, failures, lastFailedRun, List.of(), checkpoint, losses);
  }

  /** Returns the state after {@code lostRun} was lost with the worker of one of its tasks. */
  public GroupState withLoss(int lostRun, int position, LossKind kind) {
    return withLosses(lossesOf(position).withLoss(kind, lostRun));
  }

  /** Returns the state without what was counted against the task at {@code position}. */
  public GroupState withLossesCleared(int position) {
    return withLosses(TaskLosses.none(position));
  }

  /** Returns whether a task may be what crashed a worker. */
  public boolean suspect() {
    return losses.stream().anyMatch(TaskLosses::suspect);
  }

  /** Returns whether a task has cost so many workers that no further run may start. */
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
