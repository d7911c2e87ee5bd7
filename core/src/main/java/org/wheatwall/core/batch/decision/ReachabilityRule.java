package org.wheatwall.core.batch.decision;

/**
 * Detects a decider that reaches the job log but less than half of the workers that it calls. The
 * decider cannot tell unreachable workers from workers that have ended; another host may reach
 * them.
 *
 * <p>The time without enough workers decreases as gradually as it increases, so that single workers
 * that come and go cannot keep it from growing.
 */
final class ReachabilityRule {
  /** Time after which other hosts are asked which workers they reach, milliseconds. */
  static final int SURVEY_AFTER_MS = 250;

  /**
   * Time after which the term is released without a known successor, milliseconds: three calls to
   * each worker, some of them late.
   */
  static final int RELEASE_AFTER_MS = 3000;

  // One or two workers may fail by themselves.
  private static final int MIN_UNREACHABLE = 3;
  // Workers in use respond at least once a second.
  private static final int RECENT_RESPONSE_MS = 2000;
  // Responses that arrived during a long scheduling pass have not been processed yet.
  private static final int MAX_COUNTED_PER_TICK_MS = 250;

  private final TermState term;
  private long lastTickMs;
  private long unreachableMs;

  ReachabilityRule(TermState term) {
    this.term = term;
    this.lastTickMs = term.nowMs;
  }

  /** Updates the time for which too few workers have been reachable. */
  void tick() {
    long elapsedMs = Math.min(MAX_COUNTED_PER_TICK_MS, term.nowMs - lastTickMs);
    lastTickMs = term.nowMs;
    unreachableMs += hasWork() && mostAreUnreachable() ? elapsedMs : -elapsedMs;
    unreachableMs = Math.max(0, Math.min(RELEASE_AFTER_MS, unreachableMs));
  }

  /** Returns whether few workers are reachable, so that other hosts should be asked. */
  boolean isSurveyNeeded() {
    return unreachableMs >= SURVEY_AFTER_MS;
  }

  /** Returns whether few workers have been reachable for so long that any other host may do. */
  boolean isReleaseDue() {
    return unreachableMs >= RELEASE_AFTER_MS;
  }

  private boolean hasWork() {
    return !term.scheduler.waiting().isEmpty() || !term.runs.workers().isEmpty();
  }

  // Only workers that were called lately count. Idle workers are not called, and a new decider is
  // still waiting for the first response of others.
  private boolean mostAreUnreachable() {
    int unreachable = 0;
    int responding = 0;
    for (WorkerRecord record : term.workers.records()) {
      if (record.listed() && record.suspected()) {
        unreachable++;
      } else if (record.listed() && term.nowMs - record.lastResponseMs() <= RECENT_RESPONSE_MS) {
        responding++;
      }
    }
    return unreachable >= MIN_UNREACHABLE && unreachable > responding;
  }
}
