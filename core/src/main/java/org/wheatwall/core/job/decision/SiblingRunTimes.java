package org.wheatwall.core.job.decision;

import java.util.OptionalDouble;

/**
 * Log run times of the tasks of one step, each less the log ratio of its host: the weighted mean
 * tells how long a task of this step takes on the reference host.
 */
final class SiblingRunTimes {
  // A task whose progress is wrong moves the mean by no more than a task that takes twice as long.
  private static final double MAX_DEVIATION = Math.log(2);
  // Below this, the sums hold only rounding errors of contributions that were withdrawn.
  private static final double MIN_WEIGHT = 1e-6;

  private double weight;
  private double sum;
  private Object onlyHost;
  private boolean severalHosts;
  private RunTimeRatios.Run uncompared;

  /** What one task has added to the mean. */
  static final class Contribution {
    private double weight;
    private double sum;

    /** Returns whether the task has added anything. */
    boolean exists() {
      return weight > 0;
    }
  }

  /** Returns the weight of the tasks: the inverse variance of their mean. */
  double weight() {
    return weight;
  }

  /**
   * Returns the mean as a basis for comparison, empty if the tasks ran only on {@code host}: they
   * say nothing about its difference from other hosts.
   */
  OptionalDouble meanFor(Object host) {
    boolean comparable = severalHosts || (onlyHost != null && onlyHost != host);
    return comparable && weight > MIN_WEIGHT
        ? OptionalDouble.of(sum / weight)
        : OptionalDouble.empty();
  }

  /** Returns the last run that ended before there was another to compare it with, null if none. */
  RunTimeRatios.Run uncompared() {
    return uncompared;
  }

  void setUncompared(RunTimeRatios.Run run) {
    uncompared = run;
  }

  /** Adds a task, limited by the mean of the others. */
  void add(Contribution contribution, Object host, double value, double variance) {
    double limited = value;
    if (weight > MIN_WEIGHT) {
      double mean = sum / weight;
      limited = Math.max(mean - MAX_DEVIATION, Math.min(mean + MAX_DEVIATION, value));
    }
    contribution.weight = 1 / variance;
    contribution.sum = limited / variance;
    weight += contribution.weight;
    sum += contribution.sum;
    severalHosts |= onlyHost != null && onlyHost != host;
    onlyHost = host;
  }

  /** Withdraws what a task has added. */
  void remove(Contribution contribution) {
    weight -= contribution.weight;
    sum -= contribution.sum;
    contribution.weight = 0;
    contribution.sum = 0;
    if (weight <= MIN_WEIGHT) {
      weight = 0;
      sum = 0;
    }
  }
}
