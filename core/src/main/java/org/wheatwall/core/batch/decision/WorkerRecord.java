package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.WorkerInfo;

/** What the supervisor knows of one life of a worker. */
final class WorkerRecord {
  // Longer than several cuts of the users' deployments in a row, of some 6 s each.
  private static final int LISTED_LAPSE_FACTOR = 4;

  private final String id;
  private final StartBackoff backoff = new StartBackoff();
  private Optional<WorkerInfo> info = Optional.empty();
  private boolean listed;
  private boolean reported;
  private boolean suspected;
  private boolean avoided;
  private long lastLeaseSentMs;
  private boolean leaseSentSinceResponse = true;
  private long lastResponseMs = Long.MIN_VALUE / 2;
  private long silentSinceMs = Long.MAX_VALUE;
  private long unlistedAtMs = Long.MAX_VALUE;
  private long lastProcessedEnd;
  private long lastAcknowledgedEnd;

  /**
   * Creates the record.
   *
   * @param leasedAtMs when an order that extends leases there may last have been sent
   */
  WorkerRecord(String id, long leasedAtMs) {
    this.id = id;
    this.lastLeaseSentMs = leasedAtMs;
  }

  String id() {
    return id;
  }

  Optional<WorkerInfo> info() {
    return info;
  }

  void updateListing(WorkerInfo next) {
    info = Optional.of(next);
    listed = true;
    unlistedAtMs = Long.MAX_VALUE;
  }

  void markUnlisted(long nowMs) {
    listed = false;
    unlistedAtMs = nowMs;
  }

  boolean listed() {
    return listed;
  }

  /** Returns whether new work may go there. */
  boolean usable() {
    return state() == WorkerState.USABLE;
  }

  /** Returns whether new work may go there, or the first reason against it. */
  WorkerState state() {
    if (!listed) {
      return WorkerState.UNLISTED;
    }
    if (info.map(WorkerInfo::draining).orElse(true)) {
      return WorkerState.DRAINING;
    }
    if (!reported) {
      return WorkerState.NOT_REPORTED;
    }
    if (suspected) {
      return WorkerState.SUSPECTED;
    }
    if (backoff.active()) {
      return WorkerState.STARTS_DELAYED;
    }
    return avoided ? WorkerState.AVOIDED : WorkerState.USABLE;
  }

  /** Returns whether it is listed and was not heard, or does not answer any more. */
  boolean silent() {
    return listed && (!reported || suspected);
  }

  /** Returns whether it is listed and the first call to it was neither answered nor has failed. */
  boolean awaitsFirstResponse() {
    return listed && !reported && !suspected;
  }

  /** Returns the delays of starts that it refuses. */
  StartBackoff backoff() {
    return backoff;
  }

  /** Returns whether it is left aside because it is slow. */
  boolean avoided() {
    return avoided;
  }

  void setAvoided(boolean next) {
    avoided = next;
  }

  void onResponse(long nowMs) {
    reported = true;
    suspected = false;
    leaseSentSinceResponse = false;
    lastResponseMs = nowMs;
    silentSinceMs = Long.MAX_VALUE;
  }

  /** Notes that a call was not answered. */
  void onNoResponse(long nowMs) {
    silentSinceMs = Math.min(silentSinceMs, nowMs);
  }

  /**
   * Returns when it was first noticed that it does not answer any more, the largest value if it
   * answered the latest call.
   */
  long silentSinceMs() {
    return silentSinceMs;
  }

  /** Notes that it does not answer; returns whether that is new. */
  boolean markSuspected() {
    boolean fresh = !suspected;
    suspected = true;
    return fresh;
  }

  void onLeaseSent(long nowMs) {
    lastLeaseSentMs = Math.max(lastLeaseSentMs, nowMs);
    leaseSentSinceResponse = true;
  }

  /**
   * Returns whether everything that was leased there has run out without a word from it. One that
   * is still listed lives, and may yet report that a run was done before its lease ran out; so it
   * is given more time, though not without end: it may be deaf for good.
   */
  boolean leasesExpired(long nowMs, long lapseMs) {
    long waitMs = listed ? LISTED_LAPSE_FACTOR * lapseMs : lapseMs;
    return leaseSentSinceResponse && nowMs - lastLeaseSentMs > waitMs;
  }

  /** Returns when it last answered, the smallest value if it never did. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /**
   * Returns whether its end, if it has ended, came without notice. One that leaves as planned says
   * so, or its entry goes while it still answers.
   */
  boolean endedWithoutNotice() {
    boolean draining = info.map(WorkerInfo::draining).orElse(false);
    return !draining && unlistedAtMs > lastResponseMs;
  }

  /** Returns the highest number of an end that was taken in. */
  long lastProcessedEnd() {
    return lastProcessedEnd;
  }

  void onEndsProcessed(long number) {
    lastProcessedEnd = Math.max(lastProcessedEnd, number);
  }

  /** Returns the highest number of an end that need not be reported again. */
  long lastAcknowledgedEnd() {
    return lastAcknowledgedEnd;
  }

  void onEndsAcknowledged(long number) {
    lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, number);
  }
}
