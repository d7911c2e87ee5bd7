package org.wheatwall.app.soak;

import java.util.SplittableRandom;
import org.wheatwall.standin.task.TaskPlan;

/** Kinds of jobs of an open load, which compete for the same workers. */
enum JobKind {
  /** Short gangs that go before all others. */
  URGENT(PublishedConfigurations.URGENT_PREFIX, 68, 5, 2500, 8),
  /** Long gangs. */
  LONG(PublishedConfigurations.JOB_PREFIX, 16, 13, 8500, 8),
  /** Many single tasks that go behind all others. */
  WIDE(PublishedConfigurations.WIDE_PREFIX, 16, 39, 7600, 1);

  private static final int PERCENT = 100;

  private final String pathPrefix;
  private final int sharePercent;
  private final int tasks;
  private final int meanWorkMs;
  private final int maxAccelerators;

  JobKind(String pathPrefix, int sharePercent, int tasks, int meanWorkMs, int maxAccelerators) {
    this.pathPrefix = pathPrefix;
    this.sharePercent = sharePercent;
    this.tasks = tasks;
    this.meanWorkMs = meanWorkMs;
    this.maxAccelerators = maxAccelerators;
  }

  /** Draws a kind by its share of all jobs. */
  static JobKind draw(SplittableRandom random) {
    int drawn = random.nextInt(PERCENT);
    for (JobKind kind : values()) {
      drawn -= kind.sharePercent;
      if (drawn < 0) {
        return kind;
      }
    }
    throw new IllegalStateException("the shares add up to less than " + PERCENT);
  }

  /** Draws a job of this kind: half to one and a half times the mean number of tasks and time. */
  ObservedJob drawJob(String id, SplittableRandom random) {
    int count = Math.max(1, tasks / 2 + random.nextInt(tasks));
    int workMs = meanWorkMs / 2 + random.nextInt(meanWorkMs);
    boolean gang = this != WIDE && random.nextBoolean();
    int accelerators = 1 + random.nextInt(maxAccelerators);
    TaskPlan plan = new TaskPlan(workMs, gang ? count : 1, accelerators, 0);
    return new ObservedJob(id, pathPrefix, plan, count);
  }
}
