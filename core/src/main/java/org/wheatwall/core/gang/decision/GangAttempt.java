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
 * One attempt to run a gang. It reserves resources on every worker, starts every part, renews the
 * leases while every part is known to run, and stops all parts once one is not. A part is the tasks
 * of the gang on one worker.
 *
 * <p>Driven by complete inventory reports rather than by responses to single commands, so that a
 * lost response needs no special case. No part runs without the others for longer than {@link
 * GangTimes#startMs} at the start, and {@link GangTimes#leaseMs} later, even if the decider
 * crashes: the leases expire without further messages.
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
    private long lastReportedMs;
    private long expiresAtMs;
    private boolean ended;
    private boolean exceedsDeclared;

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
   * Returns an attempt that an earlier decider started and workers have reported. Parts on workers
   * that have not reported may run until {@code expiresAtMs}.
   *
   * @param lastReportedMs when the last request that each worker reported on was sent; a part that
   *     was lost during the inventory must not count as reported at the end of the inventory
   */
  public static GangAttempt adopt(
      String attemptId,
      String jobName,
      Job job,
      Placement placement,
      GangTimes times,
      ToLongFunction<String> lastReportedMs,
      long nowMs,
      long expiresAtMs) {
    GangAttempt attempt = new GangAttempt(attemptId, jobName, job, placement, times, Set.of());
    attempt.members.forEach(
        (host, member) -> {
          member.lastReportedMs = lastReportedMs.applyAsLong(host);
          member.expiresAtMs = expiresAtMs;
        });
    attempt.enter(GangPhase.RUNNING, nowMs);
    return attempt;
  }

  /** Processes the report of a worker on a request sent at {@code sentMs}. */
  public void onReport(WorkerReport report, long sentMs) {
    Member member = members.get(report.host());
    if (member == null || phase == GangPhase.ENDED || sentMs < member.lastReportedMs) {
      return;
    }
    member.lastReportedMs = sentMs;
    Optional<TaskPhase> reported = report.task(attemptId).map(task -> task.phase());
    // A part that uses more than it declared is throttled first, because it harms the other tasks
    // on its worker.
    member.exceedsDeclared =
        report
            .task(attemptId)
            .map(task -> task.throttled() || task.usagePercent() > DECLARED_PERCENT)
            .orElse(false);
    boolean hadPhase = member.phase != null;
    member.phase = reported.orElse(null);
    if (reported.isEmpty() && (phase == GangPhase.STOPPING || phase == GangPhase.CHECKPOINTING)) {
      member.ended = sentMs >= phaseSinceMs;
    } else if (reported.isEmpty() && isStarted(hadPhase)) {
      member.ended = true;
    }
    if (reported.isPresent() && reported.get().ended()) {
      member.ended = true;
    }
    if (member.phase == TaskPhase.FAILED) {
      failedHosts.add(report.host());
    }
  }

  private boolean isStarted(boolean hadPhase) {
    return phase == GangPhase.RUNNING || (phase == GangPhase.STARTING && hadPhase);
  }

  /** Records that a worker refused an operation of this attempt. */
  public void onRefused(String host, long nowMs) {
    if (members.containsKey(host)
        && (phase == GangPhase.RESERVING || phase == GangPhase.STARTING)) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  /** Records that another attempt has ended, in case this one waits for its resources. */
  public void onAttemptEnded(String otherAttemptId) {
    victims.remove(otherAttemptId);
  }

  /**
   * Requests a checkpoint, if the job is preemptible and runs, and then a stop of the whole gang.
   */
  public void requestStop(long nowMs) {
    if (phase == GangPhase.RUNNING && job.preemptible()) {
      enter(GangPhase.CHECKPOINTING, nowMs);
    } else if (phase != GangPhase.CHECKPOINTING) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  /** Enters the next phase if the reports or elapsed time allow it. */
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

  /**
   * Returns the operation to send to {@code host} now, if any, and extends the recorded lease by
   * the lease that the operation grants.
   */
  public Optional<WorkerOperation> operationFor(String host, long nowMs) {
    Member member = members.get(host);
    if (member == null || member.ended) {
      return Optional.empty();
    }
    Optional<WorkerOperation> operation = desiredOperation(member);
    operation
        .filter(desired -> desired.leaseMs() > 0)
        .ifPresent(
            desired ->
                member.expiresAtMs =
                    Math.max(member.expiresAtMs, nowMs + times.lapseMs(desired.leaseMs())));
    return operation;
  }

  private Optional<WorkerOperation> desiredOperation(Member member) {
    return switch (phase) {
      case WAITING_FOR_ROOM, ENDED -> Optional.empty();
      case RESERVING ->
          member.phase == null
              ? Optional.of(reserve(member))
              : Optional.of(operation(Kind.RENEW, times.reserveMs()));
      case STARTING ->
          member.phase == TaskPhase.RESERVED
              ? Optional.of(operation(Kind.START, times.startMs()))
              : Optional.empty();
      case RUNNING ->
          Optional.of(
              operation(member.exceedsDeclared ? Kind.THROTTLE : Kind.RENEW, times.leaseMs()));
      case CHECKPOINTING ->
          member.phase == TaskPhase.RUNNING
              ? Optional.of(operation(Kind.CHECKPOINT, times.checkpointMs() + times.startMs()))
              : Optional.empty();
      case STOPPING -> Optional.of(operation(Kind.STOP, 0));
    };
  }

  private WorkerOperation operation(Kind kind, long leaseMs) {
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

  // An earlier decider may have crashed after starting only some of the parts.
  private boolean anyNotStarted() {
    return members.values().stream()
        .anyMatch(member -> member.phase != null && !member.runsOrSucceeded());
  }

  private void advanceCheckpointing(long nowMs) {
    boolean allSaved =
        members.values().stream()
            .allMatch(member -> member.ended || member.phase == TaskPhase.CHECKPOINTED);
    if (allSaved || nowMs - phaseSinceMs >= times.checkpointMs()) {
      stop(EndReason.INTERRUPTED, nowMs);
    }
  }

  private void advanceStopping(long nowMs) {
    for (Member member : members.values()) {
      member.ended = member.ended || nowMs > member.expiresAtMs;
    }
    if (members.values().stream().allMatch(member -> member.ended)) {
      // The gang may have succeeded while it was being stopped.
      if (members.values().stream().allMatch(member -> member.phase == TaskPhase.SUCCEEDED)) {
        endReason = EndReason.SUCCEEDED;
      }
      enter(GangPhase.ENDED, nowMs);
    }
  }

  private boolean anyEndedEarly() {
    return members.values().stream()
        .anyMatch(member -> member.ended && member.phase != TaskPhase.SUCCEEDED);
  }

  private boolean anySilent(long nowMs) {
    return members.values().stream()
        .anyMatch(
            member ->
                member.phase != TaskPhase.SUCCEEDED
                    && nowMs - member.lastReportedMs > times.memberMs());
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

  /** Returns the hosts of the gang. */
  public Placement placement() {
    return placement;
  }

  /** Returns the phase. */
  public GangPhase phase() {
    return phase;
  }

  /** Returns how the attempt ends; final once the phase is {@link GangPhase#ENDED}. */
  public EndReason endReason() {
    return endReason;
  }

  /** Returns the workers on which a task failed of its own accord. */
  public List<String> failedHosts() {
    return new ArrayList<>(failedHosts);
  }

  /** Returns the workers of the gang. */
  public Set<String> hosts() {
    return members.keySet();
  }
}
