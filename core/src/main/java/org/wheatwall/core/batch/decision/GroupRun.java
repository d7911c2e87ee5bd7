package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupMember;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.job.model.ResourceAmount;

/** A run of a group of tasks, from the decision to start it until none of its tasks can run. */
final class GroupRun {
  private static final int FIRST_BLOCKED_LOG_DELAY_MS = 5000;

  private final GroupKey group;
  private final BatchJob job;
  private final String attemptId;
  private final Set<String> victims;
  private final List<MemberRun> members = new ArrayList<>();
  private GroupState state;
  private boolean launched;
  private boolean mayHaveBegunBefore;
  private boolean stopping;
  private long[] expectedEndsMs = {};
  private int slowestMember;
  private long nextBlockedLogAtMs;
  private int blockedLogDelayMs = FIRST_BLOCKED_LOG_DELAY_MS;

  private GroupRun(
      GroupKey group, BatchJob job, String attemptId, GroupState state, Set<String> victims) {
    this.group = group;
    this.job = job;
    this.attemptId = attemptId;
    this.state = state;
    this.victims = victims;
  }

  /** Creates a run that waits for the preempted attempts {@code victims} to end. */
  static GroupRun planned(
      GroupKey group,
      BatchJob job,
      String attemptId,
      GroupState state,
      List<String> workers,
      Collection<String> victims) {
    GroupRun run = new GroupRun(group, job, attemptId, state, new HashSet<>(victims));
    for (int i = 0; i < workers.size(); i++) {
      run.members.add(new MemberRun(workers.get(i), i, MemberRun.Phase.PLANNED));
    }
    return run;
  }

  /** Creates a run that was logged by an earlier decider. */
  static GroupRun inherited(GroupKey group, BatchJob job, String attemptId, GroupState state) {
    GroupRun run = new GroupRun(group, job, attemptId, state, new HashSet<>());
    for (int i = 0; i < state.members().size(); i++) {
      GroupMember member = state.members().get(i);
      MemberRun.Phase phase = member.ended() ? MemberRun.Phase.ENDED : MemberRun.Phase.INHERITED;
      run.members.add(new MemberRun(member.worker(), i, phase));
    }
    run.launched = true;
    run.mayHaveBegunBefore = true;
    return run;
  }

  GroupKey group() {
    return group;
  }

  BatchJob job() {
    return job;
  }

  StepSpec step() {
    return job.steps().get(group.step());
  }

  String attemptId() {
    return attemptId;
  }

  GroupState state() {
    return state;
  }

  void setState(GroupState next) {
    state = next;
  }

  List<MemberRun> members() {
    return members;
  }

  List<String> workers() {
    return members.stream().map(MemberRun::worker).toList();
  }

  /**
   * Returns whether a worker has confirmed that a task of this run is there, and it has not ended.
   */
  boolean hasConfirmedTaskOn(String worker) {
    return members.stream()
        .anyMatch(m -> m.worker().equals(worker) && m.isConfirmed() && !m.ended());
  }

  TaskName task(MemberRun member) {
    return group.task(member.position());
  }

  /** Returns the member that runs {@code task}. */
  MemberRun member(TaskName task) {
    return members.get(group.index() == GroupKey.WHOLE_STEP ? task.index() : 0);
  }

  /** Returns whether a worker has confirmed that a task of this run is there. */
  boolean hasConfirmedTask() {
    return members.stream().anyMatch(MemberRun::isConfirmed);
  }

  /**
   * Returns the number of this run and how far its tasks have got, for operators.
   *
   * @param workerNote returns what to say of the worker of a task that has not ended, or an empty
   *     text
   */
  String describeProgress(Function<String, String> workerNote) {
    String tasks =
        members.stream()
            .map(
                member ->
                    member.worker()
                        + "="
                        + member.phase()
                        + (member.ended() ? "" : workerNote.apply(member.worker())))
            .collect(Collectors.joining(" "));
    String prefix = launched ? "run " + state.run() : "a run that is not written down";
    String victimText = victims.isEmpty() ? "" : ", waits for the end of " + victims.size();
    return prefix + (stopping ? ", being stopped" : "") + victimText + ": " + tasks;
  }

  /** Returns the preempted attempts that this run still waits for. */
  Set<String> victims() {
    return Set.copyOf(victims);
  }

  /** Removes a victim that has ended; returns whether it was the last one. */
  boolean removeVictim(String endedAttempt) {
    return victims.remove(endedAttempt) && victims.isEmpty();
  }

  boolean waitsForVictims() {
    return !victims.isEmpty();
  }

  /** Returns whether a task of this run may still use resources on one of the workers. */
  boolean usesAnyOf(Collection<String> workers) {
    return members.stream()
        .anyMatch(member -> !member.ended() && workers.contains(member.worker()));
  }

  /** Returns the resources that its unfinished tasks use on a worker. */
  ResourceAmount resourcesOn(String worker) {
    long tasks =
        members.stream()
            .filter(member -> !member.ended() && member.worker().equals(worker))
            .count();
    return step().taskAmount().times((int) tasks);
  }

  boolean launched() {
    return launched;
  }

  /** Records that the run is launched, and its state from now on. */
  void launch(GroupState next) {
    launched = true;
    mayHaveBegunBefore = state.mayHaveBegun();
    state = next;
  }

  /** Returns whether a task of the group may have begun, in this run or an earlier one. */
  boolean mayHaveBegun() {
    return mayHaveBegunBefore || members.stream().anyMatch(MemberRun::mayHaveBegun);
  }

  /**
   * Returns whether start commands for all of its tasks have been sent, or may have been by an
   * earlier decider.
   */
  boolean allStartsSent() {
    return members.stream().noneMatch(member -> member.phase() == MemberRun.Phase.PLANNED);
  }

  boolean stopping() {
    return stopping;
  }

  void markStopping(long nowMs) {
    stopping = true;
    nextBlockedLogAtMs = nowMs + blockedLogDelayMs;
  }

  /**
   * Returns whether the run is still stopping and a log line is due; the delay doubles each time.
   */
  boolean isBlockedLogDue(long nowMs) {
    boolean due = stopping && nowMs >= nextBlockedLogAtMs;
    if (due) {
      blockedLogDelayMs *= 2;
      nextBlockedLogAtMs = nowMs + blockedLogDelayMs;
    }
    return due;
  }

  /**
   * Records when the member at a position is expected to end; returns when the last of those known
   * is.
   */
  long recordExpectedEnd(int position, long endMs) {
    if (expectedEndsMs.length == 0) {
      expectedEndsMs = new long[members.size()];
      Arrays.fill(expectedEndsMs, Long.MIN_VALUE);
      slowestMember = position;
    }
    expectedEndsMs[position] = endMs;
    if (position == slowestMember) {
      for (int i = 0; i < expectedEndsMs.length; i++) {
        slowestMember = expectedEndsMs[i] > expectedEndsMs[slowestMember] ? i : slowestMember;
      }
    } else if (endMs > expectedEndsMs[slowestMember]) {
      slowestMember = position;
    }
    return expectedEndsMs[slowestMember];
  }

  boolean allEnded() {
    return members.stream().allMatch(MemberRun::ended);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("run ").append(state.run());
    text.append(launched ? "" : " (planned)").append(stopping ? " (stopping)" : "");
    members.forEach(
        member -> text.append(' ').append(member.worker()).append('=').append(member.phase()));
    return victims.isEmpty() ? text.toString() : text.append(" after ").append(victims).toString();
  }
}
