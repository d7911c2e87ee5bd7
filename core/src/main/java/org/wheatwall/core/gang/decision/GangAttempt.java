package org.wheatwall.core.gang.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerOperation.Kind;
import org.wheatwall.core.gang.model.WorkerOperation.Reservation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * One attempt to run a gang: reserve everywhere, then start everywhere, then keep every part alive
 * as long as every part is known to be alive, and stop every part once one is not.
 *
 * <p>Driven by whole reports and not by answers to single commands, so that a lost answer needs no
 * special case. No part runs alone for longer than {@link GangTimes#startMs} at the start, and
 * {@link GangTimes#leaseMs} later, even if the decider dies: the leases lapse by themselves.
 */
public final class GangAttempt {
  private static final int DECLARED_PERCENT = 100;

  private final String attemptId;
  private final String jobName;
  private final Job job;
  private final Placement placement;
  private final GangTimes times;
  private final Map<String, Member> members = new TreeMap<>();
  private final Set<String> victims;
  private final Set<String> failedHosts = new TreeSet<>();
  private GangPhase phase;
  private EndReason endReason = EndReason.INTERRUPTED;
  private long phaseSinceMs;

  private static final class Member {
    private final int tasks;
    private TaskPhase phase;
    private long seenMs;
    private long lapsesAtMs;
    private boolean gone;
    private boolean exceeds;

    private Member(int tasks) {
      this.tasks = tasks;
    }

    private boolean runsOrSucceeded() {
      return phase == TaskPhase.RUNNING || phase == TaskPhase.SUCCEEDED;
    }
  }

  private GangAttempt(
      String attemptId,
      String jobName,
      Job job,
      Placement placement,
      GangTimes times,
      Set<String> victims) {
    this.attemptId = attemptId;
    this.jobName = jobName;
    this.job = job;
    this.placement = placement;
    this.times = times;
    this.victims = new TreeSet<>(victims);
    placement.tasksByHost().forEach((host, tasks) -> members.put(host, new Member(tasks)));
  }

  /** Returns a new attempt that waits for {@code victims} to end. */
  public static GangAttempt begin(
      String attemptId,
      String jobName,
      Job job,
      Placement placement,
      GangTimes times,
      Set<String> victims,
      long nowMs) {
    GangAttempt attempt = new GangAttempt(attemptId, jobName, job, placement, times, victims);
    attempt.enter(GangPhase.WAITING_FOR_ROOM, nowMs);
    return attempt;
  }

  /**
   * Returns an attempt of an earlier decider, found on workers. Parts on workers that have not
   * reported may run until {@code lapsesAtMs}.
   *
   * @param seenAtMs when each worker was last asked for a report that came; a part that was lost
   *     during the inventory must not count as seen at its end
   */
  public static GangAttempt adopt(
      String attemptId,
      String jobName,
      Job job,
      Placement placement,
      GangTimes times,
      ToLongFunction<String> seenAtMs,
      long nowMs,
      long lapsesAtMs) {
    GangAttempt attempt = new GangAttempt(attemptId, jobName, job, placement, times, Set.of());
    attempt.members.forEach(
        (host, member) -> {
          member.seenMs = seenAtMs.applyAsLong(host);
          member.lapsesAtMs = lapsesAtMs;
        });
    attempt.enter(GangPhase.RUNNING, nowMs);
    return attempt;
  }

  /** Takes in the report of a worker on a request sent at {@code sentMs}. */
  public void onReport(WorkerReport report, long sentMs) {
    Member member = members.get(report.host());
    if (member == null || phase == GangPhase.ENDED || sentMs < member.seenMs) {
      return;
    }
    member.seenMs = sentMs;
    Optional<TaskPhase> reported = report.task(attemptId).map(task -> task.phase());
    // A part that uses more than it declared is throttled first; it harms its neighbours.
    member.exceeds =
        report
            .task(attemptId)
            .map(task -> task.throttled() || task.usagePercent() > DECLARED_PERCENT)
            .orElse(false);
    boolean wasSet = member.phase != null;
    member.phase = reported.orElse(null);
    if (reported.isEmpty() && (phase == GangPhase.STOPPING || phase == GangPhase.CHECKPOINTING)) {
      member.gone = sentMs >= phaseSinceMs;
    } else if (reported.isEmpty() && isStarted(wasSet)) {
      member.gone = true;
    }
    if (reported.isPresent() && reported.get().ended()) {
      member.gone = true;
    }
    if (member.phase == TaskPhase.FAILED) {
      failedHosts.add(report.host());
    }
  }

  private boolean isStarted(boolean wasSet) {
    return phase == GangPhase.RUNNING || (phase == GangPhase.STARTING && wasSet);
  }

  /** Notes that a worker refused what this attempt asked for. */
  public void onRefused(String host, long nowMs) {
    if (members.containsKey(host)
        && (phase == GangPhase.RESERVING || phase == GangPhase.STARTING)) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  /** Notes that an attempt has ended, in case this one waits for its room. */
  public void onAttemptEnded(String otherAttemptId) {
    victims.remove(otherAttemptId);
  }

  /** Asks for a checkpoint and then a stop of the whole gang. */
  public void requestStop(long nowMs) {
    if (phase == GangPhase.RUNNING && job.preemptible()) {
      enter(GangPhase.CHECKPOINTING, nowMs);
    } else if (phase != GangPhase.CHECKPOINTING) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  /** Moves on if the reports or the time allow it. */
  public void advance(long nowMs) {
    switch (phase) {
      case WAITING_FOR_ROOM -> advanceWaiting(nowMs);
      case RESERVING -> advanceReserving(nowMs);
      case STARTING -> advanceStarting(nowMs);
      case RUNNING -> advanceRunning(nowMs);
      case CHECKPOINTING -> advanceCheckpointing(nowMs);
      case STOPPING -> advanceStopping(nowMs);
      case ENDED -> {}
    }
  }

  /** Returns what to ask of {@code host} now, if anything, and counts the lease it grants. */
  public Optional<WorkerOperation> operationFor(String host, long nowMs) {
    Member member = members.get(host);
    if (member == null || member.gone) {
      return Optional.empty();
    }
    Optional<WorkerOperation> operation = desiredOperation(member);
    operation
        .filter(wanted -> wanted.leaseMs() > 0)
        .ifPresent(
            wanted ->
                member.lapsesAtMs =
                    Math.max(member.lapsesAtMs, nowMs + times.lapseMs(wanted.leaseMs())));
    return operation;
  }

  private Optional<WorkerOperation> desiredOperation(Member member) {
    return switch (phase) {
      case WAITING_FOR_ROOM, ENDED -> Optional.empty();
      case RESERVING ->
          member.phase == null
              ? Optional.of(reserve(member))
              : Optional.of(simple(Kind.RENEW, times.reserveMs()));
      case STARTING ->
          member.phase == TaskPhase.RESERVED
              ? Optional.of(simple(Kind.START, times.startMs()))
              : Optional.empty();
      case RUNNING ->
          Optional.of(simple(member.exceeds ? Kind.THROTTLE : Kind.RENEW, times.leaseMs()));
      case CHECKPOINTING ->
          member.phase == TaskPhase.RUNNING
              ? Optional.of(simple(Kind.CHECKPOINT, times.checkpointMs() + times.startMs()))
              : Optional.empty();
      case STOPPING -> Optional.of(simple(Kind.STOP, 0));
    };
  }

  private WorkerOperation simple(Kind kind, long leaseMs) {
    return WorkerOperation.simple(kind, attemptId, leaseMs);
  }

  private WorkerOperation reserve(Member member) {
    Reservation reservation =
        new Reservation(
            jobName, member.tasks, job.taskAmount(), placement.hosts(), job.declaredSeconds());
    return new WorkerOperation(Kind.RESERVE, attemptId, times.reserveMs(), reservation);
  }

  private void advanceWaiting(long nowMs) {
    if (victims.isEmpty()) {
      enter(GangPhase.RESERVING, nowMs);
    }
  }

  private void advanceReserving(long nowMs) {
    if (members.values().stream().allMatch(member -> member.phase == TaskPhase.RESERVED)) {
      enter(GangPhase.STARTING, nowMs);
    } else if (nowMs - phaseSinceMs >= times.reserveMs()) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  private void advanceStarting(long nowMs) {
    if (members.values().stream().allMatch(Member::runsOrSucceeded)) {
      enter(GangPhase.RUNNING, nowMs);
    } else if (!failedHosts.isEmpty()) {
      stop(EndReason.FAILED, nowMs);
    } else if (nowMs - phaseSinceMs >= times.startMs() || anyEndedEarly()) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  private void advanceRunning(long nowMs) {
    if (!failedHosts.isEmpty()) {
      stop(EndReason.FAILED, nowMs);
    } else if (members.values().stream().allMatch(member -> member.phase == TaskPhase.SUCCEEDED)) {
      stop(EndReason.SUCCEEDED, nowMs);
    } else if (anyEndedEarly() || anySilent(nowMs) || anyNotStarted()) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  // An earlier decider may have died between the start of one part and that of another.
  private boolean anyNotStarted() {
    return members.values().stream()
        .anyMatch(member -> member.phase != null && !member.runsOrSucceeded());
  }

  private void advanceCheckpointing(long nowMs) {
    boolean saved =
        members.values().stream()
            .allMatch(member -> member.gone || member.phase == TaskPhase.CHECKPOINTED);
    if (saved || nowMs - phaseSinceMs >= times.checkpointMs()) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  private void advanceStopping(long nowMs) {
    for (Member member : members.values()) {
      member.gone = member.gone || nowMs > member.lapsesAtMs;
    }
    if (members.values().stream().allMatch(member -> member.gone)) {
      // The gang may have reached its end while it was being given up.
      if (members.values().stream().allMatch(member -> member.phase == TaskPhase.SUCCEEDED)) {
        endReason = EndReason.SUCCEEDED;
      }
      enter(GangPhase.ENDED, nowMs);
    }
  }

  private boolean anyEndedEarly() {
    return members.values().stream()
        .anyMatch(member -> member.gone && member.phase != TaskPhase.SUCCEEDED);
  }

  private boolean anySilent(long nowMs) {
    return members.values().stream()
        .anyMatch(
            member ->
                member.phase != TaskPhase.SUCCEEDED && nowMs - member.seenMs > times.memberMs());
  }

  private void stop(EndReason reason, long nowMs) {
    if (phase == GangPhase.STOPPING || phase == GangPhase.ENDED) {
      return;
    }
    endReason = reason;
    enter(GangPhase.STOPPING, nowMs);
  }

  private void enter(GangPhase next, long nowMs) {
    phase = next;
    phaseSinceMs = nowMs;
  }

  /** Returns the attempt's identifier. */
  public String attemptId() {
    return attemptId;
  }

  /** Returns the job's name. */
  public String jobName() {
    return jobName;
  }

  /** Returns the job. */
  public Job job() {
    return job;
  }

  /** Returns where the gang runs. */
  public Placement placement() {
    return placement;
  }

  /** Returns the stage. */
  public GangPhase phase() {
    return phase;
  }

  /** Returns how the attempt ends; final once the stage is {@link GangPhase#ENDED}. */
  public EndReason endReason() {
    return endReason;
  }

  /** Returns the workers on which a task failed by itself. */
  public List<String> failedHosts() {
    return new ArrayList<>(failedHosts);
  }

  /** Returns the workers of the gang. */
  public Set<String> hosts() {
    return members.keySet();
  }
}
