package org.wheatwall.core.batch.decision;

/**
 * Decides whether a new decider waits for the first reports of its workers. If it scheduled while
 * few of them have reported, it would preempt or scatter work for which other workers have free
 * capacity. Workers respond within a few milliseconds, as fast as this host can process the
 * responses; workers behind a network partition do not respond at all.
 */
final class FirstReports {
  /** Longest wait, milliseconds. Urgent work has to start within some seconds. */
  static final int MAX_WAIT_MS = 1000;

  /**
   * Time without a first response after which the missing workers count as partitioned,
   * milliseconds. A host with a third of a core takes some 10 ms to process each first response and
   * may be throttled for 100 ms.
   */
  static final int QUIET_PERIOD_MS = 200;

  // With three availability zones, two thirds of the workers stay reachable if one is partitioned.
  private static final int AWAITED_SHARE_DIVISOR = 3;
  private static final int REPORTED_SHARE_DIVISOR = 2;

  private final WorkerRegistry workers;
  private final long startMs;

  /**
   * Creates an instance for one term.
   *
   * @param startMs start of the term, milliseconds
   */
  FirstReports(WorkerRegistry workers, long startMs) {
    this.workers = workers;
    this.startMs = startMs;
  }

  /** Returns whether the decider has to wait longer before its first scheduling pass. */
  boolean shouldWait(long nowMs) {
    if (nowMs - startMs >= MAX_WAIT_MS) {
      return false;
    }
    int all = workers.size();
    boolean enoughReported = (all - workers.silentCount()) * REPORTED_SHARE_DIVISOR >= all;
    boolean fewAwaited = workers.awaitedCount() * AWAITED_SHARE_DIVISOR <= all;
    boolean quiet = nowMs - workers.lastRecoveryMs() >= QUIET_PERIOD_MS;
    return !enoughReported || !(fewAwaited || quiet);
  }
}
