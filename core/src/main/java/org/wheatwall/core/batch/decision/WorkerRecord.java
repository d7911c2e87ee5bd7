package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.OptionalLong;
import org.wheatwall.core.batch.model.WorkerInfo;

/** The state of one incarnation of a worker, as the decider knows it. */
final class WorkerRecord {
  // Long enough for several successive network partitions, of some 6 s each in deployments.
  private static final int LISTED_WAIT_AFTER_EXPIRY_MS = 20_000;
  // Covers a change of the decider, so that the runs of a worker that is about to leave go on.
  private static final int MAX_LEAVING_LEASE_MS = 5000;
  // Covers the time between two renewals, and one call that fails.
  private static final int MIN_LEAVING_LEASE_MS = 2000;

  private final String id;
  private final StartBackoff backoff = new StartBackoff();
  private Optional<WorkerInfo> info = Optional.empty();
  private boolean listed;
  private boolean responded;
  private boolean suspected;
  private boolean avoided;
  private boolean evacuated;
  private boolean leasesStopped;
  private long lastLeaseSentMs;
  private boolean leaseSentSinceResponse = true;
  private long lastResponseMs = Long.MIN_VALUE / 2;
  private long silentSinceMs = Long.MAX_VALUE;
  private boolean clockKnown;
  private long clockMs;
  private long clockRequestedAtMs;
  private long unlistedAtMs = Long.MAX_VALUE;
  private long staysUntilMs = Long.MAX_VALUE;
  private long lastProcessedEnd;
  private long lastAcknowledgedEnd;

  /**
   * Creates the record.
   *
   * @param lastLeaseSentMs when a command that extends leases there may last have been sent
   */
  WorkerRecord(String id, long lastLeaseSentMs) {
    this.id = id;
    this.lastLeaseSentMs = lastLeaseSentMs;
  }

  String id() {
    return id;
  }

  Optional<WorkerInfo> info() {
    return info;
  }

  void updateListing(WorkerInfo next, long nowMs) {
    info = Optional.of(next);
    listed = true;
    unlistedAtMs = Long.MAX_VALUE;
    staysUntilMs =
        next.remainingMs().isPresent() ? nowMs + next.remainingMs().getAsInt() : Long.MAX_VALUE;
  }

  void markUnlisted(long nowMs) {
    listed = false;
    unlistedAtMs = nowMs;
  }

  boolean listed() {
    return listed;
  }

  /** Returns whether new work may be placed there. */
  boolean usable() {
    return state() == WorkerState.USABLE;
  }

  /** Returns {@link WorkerState#USABLE}, or the first reason against placing new work there. */
  WorkerState state() {
    if (!listed) {
      return WorkerState.UNLISTED;
    }
    if (info.map(WorkerInfo::draining).orElse(true)) {
      return WorkerState.DRAINING;
    }
    if (evacuated) {
      return WorkerState.EVACUATED;
    }
    if (!responded) {
      return WorkerState.NOT_REPORTED;
    }
    if (suspected) {
      return WorkerState.SUSPECTED;
    }
    if (leasesStopped) {
      return WorkerState.LEASES_STOPPED;
    }
    if (backoff.active()) {
      return WorkerState.STARTS_DELAYED;
    }
    return avoided ? WorkerState.AVOIDED : WorkerState.USABLE;
  }

  /** Returns whether it has responded in this term and was not called in vain since. */
  boolean heard() {
    return responded && !suspected;
  }

  /** Returns whether it is listed and has not responded yet, or does not respond any more. */
  boolean silent() {
    return listed && !heard();
  }

  /** Returns whether it is listed and the first call to it has neither succeeded nor failed yet. */
  boolean awaitsFirstResponse() {
    return listed && !responded && !suspected;
  }

  /** Returns whether it was called in vain since its last response. */
  boolean suspected() {
    return suspected;
  }

  /** Returns the delays between starts that it refuses. */
  StartBackoff backoff() {
    return backoff;
  }

  /** Returns whether it is avoided because it is slow. */
  boolean avoided() {
    return avoided;
  }

  void setAvoided(boolean next) {
    avoided = next;
  }

  /** Sets whether the operator evacuates its availability zone. */
  void setEvacuated(boolean next) {
    evacuated = next;
  }

  /** Returns whether the operator evacuates its availability zone, whatever else its state is. */
  boolean evacuated() {
    return evacuated;
  }

  /** Sets whether no lease may be extended there, so that nothing can start. */
  void setLeasesStopped(boolean next) {
    leasesStopped = next;
  }

  /** Returns whether it has responded in this term. */
  boolean responded() {
    return responded;
  }

  void onResponse(long nowMs) {
    responded = true;
    suspected = false;
    leaseSentSinceResponse = false;
    lastResponseMs = nowMs;
    silentSinceMs = Long.MAX_VALUE;
  }

  /** Records the clock in a report that was requested at a time, milliseconds. */
  void onClockRead(long nextClockMs, long requestedAtMs) {
    clockKnown = true;
    clockMs = nextClockMs;
    clockRequestedAtMs = requestedAtMs;
  }

  /** Records that its clock is not known until it is read again. */
  void invalidateClock() {
    clockKnown = false;
  }

  boolean clockKnown() {
    return clockKnown;
  }

  /** Returns its clock in the last report, milliseconds, if it is known. */
  long clockMs() {
    return clockMs;
  }

  /** Returns when that report was requested, milliseconds. */
  long clockRequestedAtMs() {
    return clockRequestedAtMs;
  }

  /** Records a call without a response. */
  void onNoResponse(long nowMs) {
    silentSinceMs = Math.min(silentSinceMs, nowMs);
  }

  /**
   * Returns when the first call without a response since the last response was recorded,
   * milliseconds, or {@link Long#MAX_VALUE} if it responded to the latest call.
   */
  long silentSinceMs() {
    return silentSinceMs;
  }

  /** Marks it as suspected to be down; returns whether it was not before. */
  boolean markSuspected() {
    boolean newlySuspected = !suspected;
    suspected = true;
    return newlySuspected;
  }

  /** Returns whether it shuts down as planned, or did so when it was last listed. */
  boolean isDraining() {
    return info.filter(WorkerInfo::draining).isPresent();
  }

  /**
   * Returns the lease for a renewal there. The runs of a draining worker end when it leaves, and
   * are awaited until its leases have expired, so they do not last much longer than it stays. An
   * entry that is gone without draining says nothing: entries are also gone after an outage of the
   * store.
   *
   * @param maximumMs the longest lease, milliseconds
   */
  int renewalLeaseMs(int maximumMs, long nowMs) {
    if (!isDraining()) {
      return maximumMs;
    }
    long leaseMs = MAX_LEAVING_LEASE_MS;
    if (staysUntilMs != Long.MAX_VALUE) {
      leaseMs = Math.max(MIN_LEAVING_LEASE_MS, Math.min(leaseMs, staysUntilMs - nowMs));
    }
    return (int) Math.min(maximumMs, leaseMs);
  }

  /**
   * Records a lease that was sent.
   *
   * @param maximumSentAtMs when a lease of maximum length would have been sent that ends at the
   *     same time, milliseconds
   */
  void onLeaseSent(long maximumSentAtMs) {
    lastLeaseSentMs = Math.max(lastLeaseSentMs, maximumSentAtMs);
    leaseSentSinceResponse = true;
  }

  /** Records that no lease was extended there after a time, milliseconds. */
  void limitLastLease(long sinceMs) {
    lastLeaseSentMs = Math.min(lastLeaseSentMs, sinceMs);
  }

  /**
   * Returns when a command that extends leases by their maximum may last have been sent,
   * milliseconds.
   */
  long lastLeaseSentMs() {
    return lastLeaseSentMs;
  }

  /**
   * Returns whether all leases there have expired without a response since. A worker that is still
   * listed is alive and may yet report that a run was done before its lease expired, so it gets
   * more time. The time is limited, because it may stay unreachable for good.
   */
  boolean leasesExpired(long nowMs, long expiryMs) {
    OptionalLong givenUpAtMs = givenUpAtMs(expiryMs);
    return givenUpAtMs.isPresent() && nowMs > givenUpAtMs.getAsLong();
  }

  /**
   * Returns when its runs are given up if it stays silent, milliseconds; empty while it responds
   * and no lease was sent since. An idle worker is not called, so that its last response may be
   * long ago when a run is planned there.
   */
  OptionalLong givenUpAtMs(long expiryMs) {
    long waitMs = listed ? expiryMs + LISTED_WAIT_AFTER_EXPIRY_MS : expiryMs;
    if (leaseSentSinceResponse) {
      return OptionalLong.of(lastLeaseSentMs + waitMs);
    }
    return silentSinceMs == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(lastLeaseSentMs, lastResponseMs) + waitMs);
  }

  /** Returns when it last responded, milliseconds; far in the past if it never did. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /**
   * Returns whether its end, if it has ended, was unannounced. A worker that shuts down as planned
   * is listed as draining, or is unlisted while it still responds.
   */
  boolean endedWithoutNotice() {
    boolean draining = info.map(WorkerInfo::draining).orElse(false);
    return !draining && unlistedAtMs > lastResponseMs;
  }

  /** Returns the highest number of a task end that has been processed. */
  long lastProcessedEnd() {
    return lastProcessedEnd;
  }

  void onEndsProcessed(long number) {
    lastProcessedEnd = Math.max(lastProcessedEnd, number);
  }

  /** Returns the highest number of a task end that need not be reported again. */
  long lastAcknowledgedEnd() {
    return lastAcknowledgedEnd;
  }

  void onEndsAcknowledged(long number) {
    lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, number);
  }
}
