package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LossKind;

/** One task of a run that is under way. */
final class MemberRun {
  /** How far it is. */
  enum Phase {
    /** No order was sent yet. */
    PLANNED,
    /** A start was sent and no answer has come. */
    ORDERED,
    /** The worker has confirmed the start. */
    RUNNING,
    /** An earlier decider may have ordered it; its worker has not been heard yet. */
    INHERITED,
    /** It neither runs nor can start any more. */
    ENDED
  }

  private String worker;
  private final int position;
  private Phase phase;
  private int startsSent;
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
   * Returns since when it may be running, as far as this decider knows: its own first order, or the
   * first report that names a run of an earlier decider. The largest value if neither has come.
   */
  long possiblyRunningSinceMs() {
    return Math.min(firstStartSentAtMs, confirmedAtMs == 0 ? Long.MAX_VALUE : confirmedAtMs);
  }

  /** Asks for the start to be sent again at a time. */
  void retryStartAt(long timeMs) {
    startRetryAtMs = timeMs;
  }

  boolean isStartRetryDue(long nowMs) {
    return phase == Phase.ORDERED && nowMs >= startRetryAtMs;
  }

  int startsSent() {
    return startsSent;
  }

  void recordUnansweredStart() {
    unansweredStarts++;
  }

  /** Returns whether an order without an answer may still be carried out. */
  boolean mayStartLate() {
    return unansweredStarts > 0;
  }

  void confirmStart(long nowMs) {
    if (phase == Phase.ORDERED || phase == Phase.INHERITED) {
      phase = Phase.RUNNING;
      confirmedAtMs = nowMs;
    }
  }

  /** Notes that a report of the worker names the run. */
  void recordReported(long nowMs) {
    confirmStart(nowMs);
    recordReported = true;
    lossIfMissing = Optional.empty();
  }

  /** Returns whether it is certain that this life of the worker has the run, and no later one. */
  boolean isBoundToIncarnation() {
    return phase == Phase.PLANNED || (recordReported && phase == Phase.RUNNING && !mayStartLate());
  }

  /**
   * Notes that the worker has started again, and that a start may have met its later life.
   *
   * @param loss how the run was lost with the earlier life if the later one does not have it; empty
   *     if it was not lost
   */
  void moveToIncarnation(String laterLife, Optional<LossKind> loss) {
    boolean mayStillArrive = phase == Phase.ORDERED || mayStartLate();
    phase = mayStillArrive ? Phase.ORDERED : Phase.INHERITED;
    unansweredStarts = mayStillArrive ? Math.max(1, unansweredStarts) : 0;
    worker = laterLife;
    recordReported = false;
    lossIfMissing = loss;
    startRetryAtMs = Long.MAX_VALUE;
    stopRequested = false;
    stopAcknowledgedAtMs = Long.MAX_VALUE;
  }

  /**
   * Returns how the run was lost with an earlier life of the worker if this one does not have it.
   */
  Optional<LossKind> lossIfMissing() {
    return lossIfMissing;
  }

  /** Asks for a stop; returns whether this is new. */
  boolean requestStop() {
    boolean fresh = !stopRequested;
    stopRequested = true;
    return fresh;
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

  /** Notes that the worker has acknowledged the stop: the run can no longer start there. */
  void recordStopAcknowledged(long nowMs) {
    stopAcknowledgedAtMs = Math.min(stopAcknowledgedAtMs, nowMs);
  }

  boolean isStopAcknowledged() {
    return stopAcknowledgedAtMs != Long.MAX_VALUE;
  }

  /** Returns whether a report asked for at {@code askedMs} that lacks this run proves its end. */
  boolean isEndedIfMissingFromReport(long askedMs) {
    return switch (phase) {
      case RUNNING -> askedMs > confirmedAtMs || askedMs > stopAcknowledgedAtMs;
      case ORDERED -> askedMs > stopAcknowledgedAtMs;
      case INHERITED -> true;
      case PLANNED, ENDED -> false;
    };
  }
}
