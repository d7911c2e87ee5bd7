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
  private boolean heard;
  private boolean suspected;
  private boolean aside;
  private long leasedAtMs;
  private boolean leasedSinceAnswer = true;
  private long answeredAtMs = Long.MIN_VALUE / 2;
  private long fellSilentAtMs = Long.MAX_VALUE;
  private long unlistedAtMs = Long.MAX_VALUE;
  private long takenIn;
  private long acknowledged;

  /**
   * Creates the record.
   *
   * @param leasedAtMs when an order that extends leases there may last have been sent
   */
  WorkerRecord(String id, long leasedAtMs) {
    this.id = id;
    this.leasedAtMs = leasedAtMs;
  }

  String id() {
    return id;
  }

  Optional<WorkerInfo> info() {
    return info;
  }

  void list(WorkerInfo next) {
    info = Optional.of(next);
    listed = true;
    unlistedAtMs = Long.MAX_VALUE;
  }

  void unlist(long nowMs) {
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
      return WorkerState.LEAVING;
    }
    if (!heard) {
      return WorkerState.NOT_HEARD;
    }
    if (suspected) {
      return WorkerState.SUSPECTED;
    }
    if (backoff.active()) {
      return WorkerState.STARTS_DELAYED;
    }
    return aside ? WorkerState.ASIDE : WorkerState.USABLE;
  }

  /** Returns whether it is listed and was not heard, or does not answer any more. */
  boolean silent() {
    return listed && (!heard || suspected);
  }

  /** Returns whether it is listed and the first call to it was neither answered nor has failed. */
  boolean unmet() {
    return listed && !heard && !suspected;
  }

  /** Returns the delays of starts that it refuses. */
  StartBackoff backoff() {
    return backoff;
  }

  /** Returns whether it is left aside because it is slow. */
  boolean aside() {
    return aside;
  }

  void setAside(boolean next) {
    aside = next;
  }

  void heard(long nowMs) {
    heard = true;
    suspected = false;
    leasedSinceAnswer = false;
    answeredAtMs = nowMs;
    fellSilentAtMs = Long.MAX_VALUE;
  }

  /** Notes that a call was not answered. */
  void notAnswered(long nowMs) {
    fellSilentAtMs = Math.min(fellSilentAtMs, nowMs);
  }

  /**
   * Returns when it was first noticed that it does not answer any more, the largest value if it
   * answered the latest call.
   */
  long fellSilentAtMs() {
    return fellSilentAtMs;
  }

  /** Notes that it does not answer; returns whether that is new. */
  boolean suspect() {
    boolean fresh = !suspected;
    suspected = true;
    return fresh;
  }

  void leased(long nowMs) {
    leasedAtMs = Math.max(leasedAtMs, nowMs);
    leasedSinceAnswer = true;
  }

  /**
   * Returns whether everything that was leased there has run out without a word from it. One that
   * is still listed lives, and may yet report that a run was done before its lease ran out; so it
   * is given more time, though not without end: it may be deaf for good.
   */
  boolean lapsed(long nowMs, long lapseMs) {
    long waitMs = listed ? LISTED_LAPSE_FACTOR * lapseMs : lapseMs;
    return leasedSinceAnswer && nowMs - leasedAtMs > waitMs;
  }

  /** Returns when it last answered, the smallest value if it never did. */
  long answeredAtMs() {
    return answeredAtMs;
  }

  /**
   * Returns whether its end, if it has ended, came without notice. One that leaves as planned says
   * so, or its entry goes while it still answers.
   */
  boolean endsWithoutNotice() {
    boolean draining = info.map(WorkerInfo::draining).orElse(false);
    return !draining && unlistedAtMs > answeredAtMs;
  }

  /** Returns the highest number of an end that was taken in. */
  long takenIn() {
    return takenIn;
  }

  void takeIn(long number) {
    takenIn = Math.max(takenIn, number);
  }

  /** Returns the highest number of an end that need not be reported again. */
  long acknowledged() {
    return acknowledged;
  }

  void acknowledge(long number) {
    acknowledged = Math.max(acknowledged, number);
  }
}
