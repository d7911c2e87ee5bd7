package org.wheatwall.core.job.decision;

/**
 * Evidence about the run time ratio of one host: differences of log run times from those of sibling
 * tasks on other hosts. Ended runs are summed up with weights that fade, so that recent ones count
 * more; each open run has one difference that is replaced as it progresses.
 */
final class HostRunTimes {
  // About the last 8 runs count, so that a change shows within a few runs.
  private static final double DECAY = 0.88;
  // Without new runs, what was learned fades over minutes: the host may have changed meanwhile.
  private static final double FADE_MS = 600_000;
  // Two runs in a row that deviate in the same direction by this many standard deviations: the host
  // has probably changed, and earlier runs count half.
  private static final double CHANGE_DEVIATIONS = 1.5;
  private static final double CHANGE_DECAY = 0.5;

  private final String name;
  private double endedWeight;
  private double endedSum;
  private double openWeight;
  private double openSum;
  private int openRuns;
  private long fadedAtMs = Long.MIN_VALUE;
  private boolean hasLast;
  private double lastDifference;
  private double lastErrorVariance;
  private double lastDeviations;
  private double appliedRatio = 1;

  /** Creates a host without evidence. */
  HostRunTimes(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  /** Returns the sum of the inverse variances of all differences, 0 if there are none. */
  double weight() {
    return endedWeight + openWeight;
  }

  /** Returns the mean difference; only valid if the weight is not 0. */
  double mean() {
    return (endedSum + openSum) / weight();
  }

  /** Returns the expected difference: the mean, shrunk towards that of an unknown host. */
  double expected(FleetSpread fleet) {
    double priorWeight = 1 / fleet.variance();
    return (endedSum + openSum + fleet.reference() * priorWeight) / (weight() + priorWeight);
  }

  /** Returns the variance of {@link #expected}. */
  double expectedVariance(FleetSpread fleet) {
    return 1 / (weight() + 1 / fleet.variance());
  }

  /** Lets ended runs fade with the time since the last call. */
  void fade(long nowMs) {
    if (fadedAtMs != Long.MIN_VALUE && nowMs > fadedAtMs) {
      double kept = Math.exp(-(nowMs - fadedAtMs) / FADE_MS);
      endedWeight *= kept;
      endedSum *= kept;
    }
    fadedAtMs = Math.max(fadedAtMs, nowMs);
  }

  void addOpen(double difference, double weight) {
    openRuns++;
    openWeight += weight;
    openSum += weight * difference;
  }

  void removeOpen(double difference, double weight) {
    openRuns--;
    openWeight = openRuns == 0 ? 0 : Math.max(0, openWeight - weight);
    openSum = openRuns == 0 ? 0 : openSum - weight * difference;
  }

  /**
   * Adds the difference of an ended run.
   *
   * @param errorVariance the part of its variance that is due to the measurement and the siblings
   */
  void addEnded(double difference, double weight, double errorVariance, FleetSpread fleet) {
    double expected = expected(fleet);
    double deviations = (difference - expected) / Math.sqrt(1 / weight + expectedVariance(fleet));
    boolean changed =
        Math.abs(deviations) > CHANGE_DEVIATIONS
            && Math.abs(lastDeviations) > CHANGE_DEVIATIONS
            && deviations * lastDeviations > 0;
    if (hasLast && !changed) {
      fleet.observePair(difference - lastDifference, errorVariance + lastErrorVariance);
    }
    double share = Math.min(1, weight * fleet.siblingVariance());
    double kept = Math.pow(DECAY, share) * (changed ? CHANGE_DECAY : 1);
    endedWeight = endedWeight * kept + weight;
    endedSum = endedSum * kept + weight * difference;
    hasLast = true;
    lastDifference = difference;
    lastErrorVariance = errorVariance;
    lastDeviations = deviations;
  }

  double appliedRatio() {
    return appliedRatio;
  }

  void setAppliedRatio(double next) {
    appliedRatio = next;
  }
}
