package org.wheatwall.core.batch.decision;

import java.util.List;

/**
 * Whether a decider reaches too few workers for the work that waits, though it reaches the log. It
 * cannot tell that from workers that are gone; another host may reach them.
 */
final class ReachabilityRule {
  /** How long it may last, milliseconds: three calls to each worker, and some that are late. */
  static final int MAX_UNREACHABLE_MS = 3000;

  // A new decider on a small host meets its workers for seconds, a few at a time.
  private static final int QUIET_MS = 1000;
  private static final int SILENT_SHARE = 2;
  // Answers that came during a look that took long are not taken in yet.
  private static final int MOST_COUNTED_A_TICK_MS = 250;

  private final TermState term;
  private long tickedAtMs;
  private long lastedMs;

  ReachabilityRule(TermState term) {
    this.term = term;
    this.tickedAtMs = term.nowMs;
  }

  /** Counts for how long it has been so. */
  void tick() {
    long passedMs = Math.min(MOST_COUNTED_A_TICK_MS, term.nowMs - tickedAtMs);
    tickedAtMs = term.nowMs;
    lastedMs = reachesFew() ? lastedMs + passedMs : 0;
  }

  /** Returns whether it has been so for too long. */
  boolean tooFewReachable() {
    return lastedMs >= MAX_UNREACHABLE_MS;
  }

  private boolean reachesFew() {
    boolean quiet = term.nowMs - term.workers.lastRecoveryMs() >= QUIET_MS;
    return quiet && !term.scheduler.waiting().isEmpty() && mostAreSilent();
  }

  private boolean mostAreSilent() {
    List<WorkerRecord> all = term.workers.all();
    long listed = all.stream().filter(WorkerRecord::listed).count();
    long silent = all.stream().filter(WorkerRecord::silent).count();
    return silent * SILENT_SHARE > listed;
  }
}
