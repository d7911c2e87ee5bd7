package org.wheatwall.core.batch.decision;

import java.util.List;

/**
 * Whether a new decider waits for the first reports of its workers. With few of them heard, work
 * would be stopped or scattered that has room elsewhere. They answer within a few milliseconds, as
 * fast as this host can take the answers in; those behind a cut do not answer at all.
 */
final class FirstReports {
  /** The longest wait, milliseconds; urgent work is to start within some seconds. */
  static final int MAX_WAIT_MS = 1000;

  /**
   * Silence after which those that are missing count as cut off, milliseconds. A host of a third of
   * a core takes some 10 ms for each first answer; its share may be used up for 100 ms.
   */
  static final int QUIET_PERIOD_MS = 200;

  // With three availability zones, two thirds of the workers are left when one is cut off.
  private static final int MISSING_SHARE = 3;
  private static final int HEARD_SHARE = 2;

  private final WorkerRegistry workers;
  private final long startMs;

  /**
   * Creates the rule for a term.
   *
   * @param startMs when the term began
   */
  FirstReports(WorkerRegistry workers, long startMs) {
    this.workers = workers;
    this.startMs = startMs;
  }

  /** Returns whether to wait on. */
  boolean shouldWait(long nowMs) {
    if (nowMs - startMs >= MAX_WAIT_MS) {
      return false;
    }
    List<WorkerRecord> all = workers.all();
    long silent = all.stream().filter(WorkerRecord::silent).count();
    long unmet = all.stream().filter(WorkerRecord::awaitsFirstResponse).count();
    boolean enoughHeard = (all.size() - silent) * HEARD_SHARE >= all.size();
    boolean othersMet = unmet * MISSING_SHARE <= all.size();
    boolean quiet = nowMs - workers.lastRecoveryMs() >= QUIET_PERIOD_MS;
    return !enoughHeard || !(othersMet || quiet);
  }
}
