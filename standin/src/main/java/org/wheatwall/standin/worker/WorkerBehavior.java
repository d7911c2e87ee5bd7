package org.wheatwall.standin.worker;

/**
 * How a worker behaves, set by {@code PUT /fault}.
 *
 * @param failsEverything whether every task fails soon after its start
 * @param ignoresCheckpoint whether a checkpoint never ends
 * @param loseAnswersPercent share of exchanges that take effect but are not answered
 * @param loseRequestsPercent share of exchanges that never arrive
 * @param runTimePercent real run time of tasks, percent of the declared one
 * @param usagePercent real use of tasks, percent of the declared one
 * @param usageLagMs how long after its start a task's use shows in reports
 * @param guardAfterMs time after which a guard kills a task that uses more than it declared and is
 *     not throttled, 0 for no guard
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
  /** Returns a sound worker whose tasks use {@code percent} of what they declared. */
  public static WorkerBehavior withUsagePercent(int percent) {
    return new WorkerBehavior(false, false, 0, 0, 100, percent, 2000, 10_000);
  }

  /** Does what it is told; run times are as declared. */
  public static final WorkerBehavior HEALTHY =
      new WorkerBehavior(false, false, 0, 0, 100, 100, 2000, 10_000);
}
