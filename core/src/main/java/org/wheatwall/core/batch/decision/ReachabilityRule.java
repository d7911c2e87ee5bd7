package org.wheatwall.core.batch.decision;

import java.util.List;

/**
 * Detects a decider that reaches the job log but too few workers for the waiting work. The decider
 * cannot tell unreachable workers from workers that have ended; another host may reach them.
 */
final class ReachabilityRule {
  /** Longest tolerated time, milliseconds: three calls to each worker, some of them late. */
  static final int MAX_UNREACHABLE_MS = 3000;

  // On a small host the first responses to a new decider arrive over seconds, a few at a time.
  private static final int QUIET_PERIOD_MS = 1000;
  private static final int SILENT_SHARE_DIVISOR = 2;
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
    unreachableMs = reachesFewWorkers() ? unreachableMs + elapsedMs : 0;
  }

  /** Returns whether too few workers have been reachable for too long. */
  boolean tooFewReachable() {
    return unreachableMs >= MAX_UNREACHABLE_MS;
  }

  private boolean reachesFewWorkers() {
    boolean quiet = term.nowMs - term.workers.lastRecoveryMs() >= QUIET_PERIOD_MS;
    return quiet && !term.scheduler.waiting().isEmpty() && mostAreSilent();
  }

  private boolean mostAreSilent() {
    List<WorkerRecord> all = term.workers.all();
    long listed = all.stream().filter(WorkerRecord::listed).count();
    long silent = all.stream().filter(WorkerRecord::silent).count();
    return silent * SILENT_SHARE_DIVISOR > listed;
  }
}
