package org.wheatwall.core.batch.decision;

import java.util.List;

/**
 * Detects a decider that reaches the job log but few of its workers. The decider cannot tell
 * unreachable workers from workers that have ended; another host may reach them.
 *
 * <p>The time without enough workers decreases as gradually as it increases, so that single workers
 * that come and go cannot keep it from growing.
 */
final class ReachabilityRule {
  /** Time after which other hosts are asked which workers they reach, milliseconds. */
  static final int SURVEY_AFTER_MS = 500;

  /**
   * Time after which the term is released without a known successor, milliseconds: three calls to
   * each worker, some of them late.
   */
  static final int RELEASE_AFTER_MS = 3000;

  private static final int UNREACHABLE_SHARE_DIVISOR = 2;
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

  // Workers whose first response is awaited do not count: a new decider is still calling them.
  private boolean mostAreUnreachable() {
    List<WorkerRecord> listed = term.workers.all().stream().filter(WorkerRecord::listed).toList();
    long unreachable = listed.stream().filter(WorkerRecord::suspected).count();
    return unreachable * UNREACHABLE_SHARE_DIVISOR > listed.size();
  }
}
