package org.wheatwall.standin.worker;

/**
 * Behavior of a worker, set by {@code PUT /fault}.
 *
 * @param failsEverything whether every task fails soon after its start
 * @param ignoresCheckpoint whether checkpoint requests are ignored, so that no task is ever
 *     checkpointed
 * @param loseAnswersPercent percentage of exchanges that take effect but are not answered
 * @param loseRequestsPercent percentage of exchanges that never arrive
 * @param runTimePercent actual run time of tasks, percent of the declared one
 * @param usagePercent actual resource usage of tasks, percent of the declared one
 * @param usageLagMs how long after a task's start its usage appears in reports, milliseconds
 * @param guardAfterMs time after the start at which a resource guard kills a task that uses more
 *     than it declared and is not throttled, milliseconds; 0 for no guard
 */
public record WorkerBehavior(
    boolean failsEverything,
    boolean ignoresCheckpoint,
    int loseAnswersPercent,
    int loseRequestsPercent,
    int runTimePercent,
    int usagePercent,
    int usageLagMs,
    int guardAfterMs) {
  /** Returns a healthy worker whose tasks use {@code percent} of what they declared. */
  public static WorkerBehavior withUsagePercent(int percent) {
    return new WorkerBehavior(false, false, 0, 0, 100, percent, 2000, 10_000);
  }

  /** Carries out every command; run times and usage are as declared. */
  public static final WorkerBehavior HEALTHY =
      new WorkerBehavior(false, false, 0, 0, 100, 100, 2000, 10_000);
}
