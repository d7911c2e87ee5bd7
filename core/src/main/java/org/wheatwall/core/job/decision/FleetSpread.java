package org.wheatwall.core.job.decision;

import java.util.Arrays;

/**
 * How much run times differ between siblings and between hosts, as logarithms: the reference host,
 * the variance among tasks of a step on equal hosts, and the variance among hosts. Estimated by
 * moments, the latter as in a meta-analysis with random effects (DerSimonian and Laird 1986).
 */
final class FleetSpread {
  /** Largest difference of a host from the reference that counts: a factor of 3. */
  static final double MAX_DIFFERENCE = Math.log(3);

  // Before anything is measured: tasks of a step vary by a quarter, hosts by a third.
  private static final double INITIAL_SIBLING_VARIANCE = 0.25 * 0.25;
  private static final double INITIAL_HOST_VARIANCE = 0.33 * 0.33;
  private static final double MIN_SIBLING_VARIANCE = 0.1 * 0.1;
  private static final double MAX_SIBLING_VARIANCE = 0.6 * 0.6;
  private static final double MIN_HOST_VARIANCE = 0.1 * 0.1;
  // The initial variance counts as much as so many pairs of runs; later about the last 400 pairs
  // count.
  private static final double INITIAL_PAIRS = 30;
  private static final double MAX_PAIRS = 400;
  // As many standard errors of that variance are allowed for when hosts are compared.
  private static final double SIBLING_VARIANCE_ERRORS = 2;
  // Pairs of runs that differ more are counted with this difference.
  private static final double MAX_PAIR_DIFFERENCE = 1.2;
  // The reference host is the median, and stays the same while it lies between these quantiles. If
  // half of the hosts or more are slow, the reference is one of them, and none is slow.
  private static final double LOWEST_REFERENCE = 0.5;
  private static final double HIGHEST_REFERENCE = 0.6;
  private static final int MIN_HOSTS = 8;
  // Hosts count as unequal from a standard deviation of 10% that is no chance result, and as equal
  // again below 5%.
  private static final double UNEQUAL_VARIANCE = 0.1 * 0.1;
  private static final double EQUAL_VARIANCE = 0.05 * 0.05;
  private static final double UNEQUAL_DEVIATIONS = 4;
  // Hosts that are known well count little more than others, so that a few hosts that have changed
  // recently show.
  private static final double LIMITED_WEIGHT_VARIANCE = 0.15 * 0.15;

  private double reference;
  private double siblingVariance = INITIAL_SIBLING_VARIANCE;
  private double pairVariance = INITIAL_SIBLING_VARIANCE;
  private double pairs = INITIAL_PAIRS;
  private long observedPairs;
  private double hostVariance = INITIAL_HOST_VARIANCE;
  private boolean unequal;

  /** Returns the mean difference of the reference host. */
  double reference() {
    return reference;
  }

  /** Returns the variance among hosts. */
  double variance() {
    return hostVariance;
  }

  /** Returns the variance among tasks of a step on equal hosts. */
  double siblingVariance() {
    return siblingVariance;
  }

  /** Returns whether hosts differ by more than chance would explain. */
  boolean unequal() {
    return unequal;
  }

  /**
   * Observes the difference of two runs on the same host.
   *
   * @param errorVariance the part of its variance that is due to measurements and siblings
   */
  void observePair(double difference, double errorVariance) {
    double limited = Math.max(-MAX_PAIR_DIFFERENCE, Math.min(MAX_PAIR_DIFFERENCE, difference));
    // May be negative: without the limits, the mean has no bias.
    double observed = (limited * limited - errorVariance) / 2;
    observedPairs++;
    pairs = Math.min(MAX_PAIRS, pairs + 1);
    pairVariance += (observed - pairVariance) / pairs;
    siblingVariance = Math.max(MIN_SIBLING_VARIANCE, Math.min(MAX_SIBLING_VARIANCE, pairVariance));
  }

  /**
   * Estimates the reference and the variance among hosts again.
   *
   * @param means mean difference of each measured host; sorted by this method
   * @param weights inverse variance of each mean, in the same order before sorting
   */
  void refresh(double[] means, double[] weights) {
    int hosts = means.length;
    if (hosts < MIN_HOSTS) {
      return;
    }
    estimateHostVariance(means, weights);
    Arrays.sort(means);
    double lowest = means[(int) (hosts * LOWEST_REFERENCE)];
    double highest = means[(int) (hosts * HIGHEST_REFERENCE)];
    reference = Math.max(lowest, Math.min(highest, reference));
  }

  private void estimateHostVariance(double[] means, double[] weights) {
    double weightSum = 0;
    double squaredWeights = 0;
    double sum = 0;
    for (int i = 0; i < means.length; i++) {
      double weight = limited(weights[i]);
      weightSum += weight;
      squaredWeights += weight * weight;
      sum += weight * means[i];
    }
    double mean = sum / weightSum;
    double deviation = 0;
    double largest = 0;
    double chance = 0;
    double chanceVariance = 0;
    for (int i = 0; i < means.length; i++) {
      double difference = Math.min(MAX_DIFFERENCE, Math.abs(means[i] - mean));
      double weight = limited(weights[i]);
      double expected = weight / weights[i];
      deviation += weight * difference * difference;
      largest = Math.max(largest, weight * difference * difference);
      chance += expected * (1 - weight / weightSum);
      chanceVariance += 2 * expected * expected;
    }
    double largestChance = chance * largestSiblingVariance(means.length) / siblingVariance;
    // A single host that reports wrongly does not make the others unequal.
    deviation -= largest;
    double scale = weightSum - squaredWeights / weightSum;
    double estimate = Math.max(0, (deviation - chance) / scale);
    unequal =
        unequal
            ? estimate > EQUAL_VARIANCE
            : estimate > UNEQUAL_VARIANCE
                && standardDeviations(deviation, largestChance, chanceVariance)
                    > UNEQUAL_DEVIATIONS;
    hostVariance = Math.max(MIN_HOST_VARIANCE, estimate);
  }

  // Chance follows from the variance among siblings, which may be larger than estimated: above all
  // while fewer pairs than hosts were observed, as short runs give the first pairs.
  private double largestSiblingVariance(int hosts) {
    boolean sampled = observedPairs >= hosts;
    double known = sampled ? siblingVariance : Math.max(siblingVariance, INITIAL_SIBLING_VARIANCE);
    double standardError = Math.sqrt(2 / (sampled ? pairs : INITIAL_PAIRS));
    return known * (1 + SIBLING_VARIANCE_ERRORS * standardError);
  }

  // Wilson and Hilferty 1931: the cube root of a scaled chi-square variable is nearly normal.
  private static double standardDeviations(double deviation, double chance, double variance) {
    double cubeVariance = variance / (9 * chance * chance);
    return (Math.cbrt(deviation / chance) - (1 - cubeVariance)) / Math.sqrt(cubeVariance);
  }

  private static double limited(double weight) {
    return weight / (1 + weight * LIMITED_WEIGHT_VARIANCE);
  }
}
