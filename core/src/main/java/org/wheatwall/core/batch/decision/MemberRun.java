package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LossKind;

/** One task of a run. */
final class MemberRun {
  /** State of the task. */
  enum Phase {
    /** No start has been sent yet. */
    PLANNED,
    /** A start has been sent and has not been confirmed. */
    ORDERED,
    /** The worker has confirmed the start. */
    RUNNING,
    /** An earlier decider may have sent a start; the worker has not reported yet. */
    INHERITED,
    /** The task neither runs nor can start any more. */
    ENDED
  }

  private String worker;
  private final int position;
  private Phase phase;
  private int startsSent;
  private int startsRefused;
  private long startRetryAtMs = Long.MAX_VALUE;
  private int unansweredStarts;
  private long firstStartSentAtMs = Long.MAX_VALUE;
  private long confirmedAtMs;
  private boolean recordReported;
  private Optional<LossKind> lossIfMissing = Optional.empty();
  private boolean stopRequested;
  private long stopSentAtMs;
  private long stopAcknowledgedAtMs = Long.MAX_VALUE;

  MemberRun(String worker, int position, Phase phase) {
    this.worker = worker;
    this.position = position;
    this.phase = phase;
  }

  String worker() {
    return worker;
  }

  int position() {
    return position;
  }

  Phase phase() {
    return phase;
  }

  boolean ended() {
    return phase == Phase.ENDED;
  }

  void end() {
    phase = Phase.ENDED;
  }

  void recordStartSent(long nowMs) {
    phase = Phase.ORDERED;
    firstStartSentAtMs = Math.min(firstStartSentAtMs, nowMs);
    startRetryAtMs = Long.MAX_VALUE;
    startsSent++;
  }

  /**
   * Returns since when the task may be running, as far as this decider knows: since its own first
   * start command, or the first report that contains a run of an earlier decider. {@link
   * Long#MAX_VALUE} if there was neither.
   */
  long possiblyRunningSinceMs() {
    return Math.min(firstStartSentAtMs, confirmedAtMs == 0 ? Long.MAX_VALUE : confirmedAtMs);
  }

  /** Schedules a retry of the start. */
  void retryStartAt(long timeMs) {
    startRetryAtMs = timeMs;
  }

  boolean isStartRetryDue(long nowMs) {
    return phase == Phase.ORDERED && nowMs >= startRetryAtMs;
  }

  int startsSent() {
    return startsSent;
  }

  /** Records that the worker refused a start, or could not be reached: nothing was done. */
  void recordStartRefused() {
    startsRefused++;
  }

  /** Returns whether the task may have begun, as far as this decider knows. */
  boolean mayHaveBegun() {
    return startsSent > startsRefused || confirmedAtMs > 0;
  }

  void recordUnansweredStart() {
    unansweredStarts++;
  }

  /** Returns whether a start that got no response may still be executed. */
  boolean mayStartLate() {
    return unansweredStarts > 0;
  }

  /** Returns whether a start may still be executed, as far as this decider knows. */
  boolean isStartPossible() {
    return !isStopAcknowledged() && (phase == Phase.ORDERED || (!ended() && mayStartLate()));
  }

  void confirmStart(long nowMs) {
    if (phase == Phase.ORDERED || phase == Phase.INHERITED) {
      phase = Phase.RUNNING;
      confirmedAtMs = nowMs;
    }
  }

  /** Returns whether a worker has confirmed, to this decider, that it has the task. */
  boolean isConfirmed() {
    return confirmedAtMs > 0;
  }

  /** Records that a report of the worker contains the run. */
  void recordReported(long nowMs) {
    confirmStart(nowMs);
    recordReported = true;
    lossIfMissing = Optional.empty();
  }

  /** Returns whether no later incarnation of the worker can have or receive this run. */
  boolean isBoundToIncarnation() {
    return phase == Phase.PLANNED || (recordReported && phase == Phase.RUNNING && !mayStartLate());
  }

  /**
   * Assigns the task to a later incarnation of its worker, which may have received the start.
   *
   * @param loss how the run was lost with the earlier incarnation if the later one does not have
   *     it; empty if it was not lost
   */
  void moveToIncarnation(String laterIncarnation, Optional<LossKind> loss) {
    boolean mayStillArrive = phase == Phase.ORDERED || mayStartLate();
    phase = mayStillArrive ? Phase.ORDERED : Phase.INHERITED;
    unansweredStarts = mayStillArrive ? Math.max(1, unansweredStarts) : 0;
    worker = laterIncarnation;
    recordReported = false;
    lossIfMissing = loss;
    startRetryAtMs = Long.MAX_VALUE;
    stopRequested = false;
    stopAcknowledgedAtMs = Long.MAX_VALUE;
  }

  /**
   * Returns how the run was lost with an earlier incarnation of the worker if the current one does
   * not have it; empty if it was not lost.
   */
  Optional<LossKind> lossIfMissing() {
    return lossIfMissing;
  }

  /** Requests a stop; returns whether none was requested before. */
  boolean requestStop() {
    boolean isNew = !stopRequested;
    stopRequested = true;
    return isNew;
  }

  boolean stopRequested() {
    return stopRequested;
  }

  void recordStopSent(long nowMs) {
    stopSentAtMs = nowMs;
  }

  boolean isStopDue(long nowMs, long repeatMs) {
    return stopRequested
        && stopAcknowledgedAtMs == Long.MAX_VALUE
        && nowMs - stopSentAtMs >= repeatMs;
  }

  /** Records that the worker has acknowledged the stop: the run can no longer start there. */
  void recordStopAcknowledged(long nowMs) {
    stopAcknowledgedAtMs = Math.min(stopAcknowledgedAtMs, nowMs);
  }

  boolean isStopAcknowledged() {
    return stopAcknowledgedAtMs != Long.MAX_VALUE;
  }

  /**
   * Returns whether this run has ended if a report does not contain it.
   *
   * @param requestedAtMs when the report was requested, milliseconds of the monotonic clock
   */
  boolean isEndedIfMissingFromReport(long requestedAtMs) {
    return switch (phase) {
      case RUNNING -> requestedAtMs > confirmedAtMs || requestedAtMs > stopAcknowledgedAtMs;
      case ORDERED -> requestedAtMs > stopAcknowledgedAtMs;
      case INHERITED -> true;
      case PLANNED, ENDED -> false;
    };
  }
}
