package org.wheatwall.standin.worker;

/**
 * How a worker behaves, set by {@code PUT /fault}.
 *
 * @param failsEverything whether every task fails soon after its start
 * @param ignoresCheckpoint whether a checkpoint never ends
 * @param loseAnswersPercent share of exchanges that take effect but are not answered
 * @param loseRequestsPercent share of exchanges that never arrive
 * @param runTimePercent real run time of tasks, percent of the declared one
 */
public record WorkerBehavior(
    boolean failsEverything,
    boolean ignoresCheckpoint,
    int loseAnswersPercent,
    int loseRequestsPercent,
    int runTimePercent) {
  /** Does what it is told; run times are as declared. */
  public static final WorkerBehavior SOUND = new WorkerBehavior(false, false, 0, 0, 100);
}
