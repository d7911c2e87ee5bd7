package org.wheatwall.core.job.decision;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Estimates the run time ratio of each host: the run time of a task there relative to its run time
 * on the median host. Tasks are compared only with tasks of the same step, by their projected total
 * run time while they run and by their run time once they have ended. A run counts as one
 * observation, whose difference from its siblings is refined as it progresses.
 *
 * <p>An estimate is applied only if it is significant: a host counts as equal to the median unless
 * the hosts differ from each other by more than chance and this one by a standard error, or this
 * one alone by more than chance among all hosts. So hosts of equal speed all have the ratio 1.
 *
 * <p>Memory is bounded: the least recently used host or step is evicted. An observation takes
 * constant time; the figures of the fleet are estimated again at intervals. Not thread-safe.
 */
public final class RunTimeRatios {
  // More than the workers and the active steps of the largest fleet that is planned for.
  private static final int MAX_HOSTS = 32_768;
  private static final int MAX_STEPS = 16_384;
  private static final long REFRESH_MS = 2000;
  private static final int MIN_UPDATES_BEFORE_REFRESH = 32;
  // Once hosts are known to be unequal, the estimate, which is shrunk by its error, is on average
  // closer to the truth than a ratio of 1; below one standard error not even its sign is certain.
  private static final double STANDARD_ERRORS = 1;
  // A ratio that is applied stays applied until it is clearly not significant any more.
  private static final double STANDARD_ERRORS_TO_KEEP = 0.75;
  // Beyond this, not one of 100,000 equal hosts is expected.
  private static final double OUTLIER_STANDARD_ERRORS = 4.5;
  // Smaller differences from the median host are ignored, smaller changes are not applied.
  private static final double MIN_DIFFERENCE = Math.log(1.1);
  private static final double MIN_CHANGE = Math.log(1.05);
  // A run that deviates by more standard deviations from its host's mean counts less.
  private static final double LIMITED_DEVIATIONS = 2.5;

  private final Map<String, HostRunTimes> hosts = bounded(MAX_HOSTS);
  private final Map<String, SiblingRunTimes> steps = bounded(MAX_STEPS);
  private final FleetSpread fleet = new FleetSpread();
  private final Set<String> changed = new LinkedHashSet<>();
  private long refreshedAtMs = Long.MIN_VALUE;
  private int updates;

  /** One run of a task on a host. */
  public static final class Run {
    private final HostRunTimes host;
    private final SiblingRunTimes siblings;
    private final SiblingRunTimes.Contribution contribution = new SiblingRunTimes.Contribution();
    private double difference;
    private double weight;
    private double errorVariance;
    private double totalMs;
    private double relativeError;

    private Run(HostRunTimes host, SiblingRunTimes siblings) {
      this.host = host;
      this.siblings = siblings;
    }
  }

  /**
   * Measured hosts.
   *
   * @param measured number of hosts with at least one observation
   * @param different number of hosts whose ratio is not 1
   * @param spread standard deviation of the log ratios of all hosts
   * @param unequal whether hosts differ by more than chance
   */
  public record Summary(int measured, int different, double spread, boolean unequal) {}

  /**
   * Starts to observe a run.
   *
   * @param step unique name of the step that the task belongs to
   */
  public Run start(String step, String host) {
    return new Run(
        hosts.computeIfAbsent(host, HostRunTimes::new),
        steps.computeIfAbsent(step, name -> new SiblingRunTimes()));
  }

  /**
   * Replaces the observation of a run.
   *
   * @param totalMs run time of the whole task, as projected from its progress, milliseconds
   * @param relativeError standard error of {@code totalMs}, as a fraction of it
   * @param nowMs time, milliseconds
   */
  public void measure(Run run, double totalMs, double relativeError, long nowMs) {
    withdraw(run);
    run.totalMs = totalMs;
    run.relativeError = relativeError;
    HostRunTimes host = run.host;
    host.fade(nowMs);
    double logMs = Math.log(Math.max(1, totalMs));
    double expected = host.expected(fleet);
    double expectedVariance = host.expectedVariance(fleet);
    double measurementVariance = relativeError * relativeError;
    OptionalDouble base = run.siblings.meanFor(host);
    if (base.isPresent()) {
      double siblingError = 1 / run.siblings.weight();
      // The part of it that siblings on hosts of known ratios would leave.
      double knownPart = fleet.siblingVariance() / (fleet.siblingVariance() + expectedVariance);
      run.errorVariance = measurementVariance + siblingError * knownPart;
      compare(run, logMs - base.getAsDouble(), measurementVariance + siblingError);
    }
    run.siblings.add(
        run.contribution,
        host,
        logMs - expected,
        fleet.siblingVariance() + measurementVariance + expectedVariance);
    updates++;
    updateApplied(host);
    compareEarlier(run.siblings, nowMs);
    refreshIfDue(nowMs);
  }

  // The first run of a step may end before there is a sibling on another host to compare it with;
  // otherwise the fastest host of each step would not be compared.
  private void compareEarlier(SiblingRunTimes siblings, long nowMs) {
    Run earlier = siblings.uncompared();
    if (earlier != null && siblings.meanFor(earlier.host).isPresent()) {
      siblings.setUncompared(null);
      measure(earlier, earlier.totalMs, earlier.relativeError, nowMs);
      finish(earlier, nowMs);
    }
  }

  private void compare(Run run, double difference, double baseVariance) {
    double limit = FleetSpread.MAX_DIFFERENCE;
    double aboveReference = difference - fleet.reference();
    double limited = fleet.reference() + Math.max(-limit, Math.min(limit, aboveReference));
    double variance = fleet.siblingVariance() + baseVariance;
    double deviation = Math.abs(limited - run.host.expected(fleet));
    double usual = LIMITED_DEVIATIONS * Math.sqrt(variance + run.host.expectedVariance(fleet));
    run.difference = limited;
    run.weight = Math.min(1, usual / Math.max(usual, deviation)) / variance;
    run.host.addOpen(run.difference, run.weight);
  }

  private static void withdraw(Run run) {
    run.siblings.remove(run.contribution);
    if (run.weight > 0) {
      run.host.removeOpen(run.difference, run.weight);
      run.weight = 0;
    }
  }

  /** Ends a run; its last observation remains. Returns whether there was any. */
  public boolean finish(Run run, long nowMs) {
    if (run.weight > 0) {
      double weight = run.weight;
      run.host.removeOpen(run.difference, weight);
      run.weight = 0;
      run.host.fade(nowMs);
      run.host.addEnded(run.difference, weight, run.errorVariance, fleet);
      updateApplied(run.host);
    } else if (run.contribution.exists()) {
      run.siblings.setUncompared(run);
    }
    return run.contribution.exists();
  }

  /**
   * Observes a run that has ended and whose progress was not observed.
   *
   * @param runMs run time, milliseconds; less than 1 counts as 1
   * @param errorMs standard error of {@code runMs}, milliseconds
   */
  public void observeEnd(String step, String host, long runMs, int errorMs, long nowMs) {
    double measuredMs = Math.max(1.0, (double) runMs);
    Run run = start(step, host);
    measure(run, measuredMs, errorMs / measuredMs, nowMs);
    finish(run, nowMs);
  }

  /** Ends a run whose observation does not count. */
  public void discard(Run run) {
    withdraw(run);
    updateApplied(run.host);
  }

  /** Returns the run time ratio of a host, 1 unless its difference is significant. */
  public double ratio(String host) {
    HostRunTimes known = hosts.get(host);
    return known == null ? 1 : known.appliedRatio();
  }

  /** Returns and clears the set of hosts whose ratio has changed. */
  public Set<String> takeChanged() {
    Set<String> result = Set.copyOf(changed);
    changed.clear();
    return result;
  }

  /** Returns whether hosts differ by more than chance would explain. */
  public boolean unequal() {
    return fleet.unequal();
  }

  /** Returns a summary; takes time proportional to the number of hosts. */
  public Summary summary() {
    int measured = 0;
    int different = 0;
    for (HostRunTimes host : hosts.values()) {
      measured += host.weight() > 0 ? 1 : 0;
      different += host.appliedRatio() != 1 ? 1 : 0;
    }
    return new Summary(measured, different, Math.sqrt(fleet.variance()), fleet.unequal());
  }

  private void refreshIfDue(long nowMs) {
    boolean due = refreshedAtMs == Long.MIN_VALUE || nowMs - refreshedAtMs >= REFRESH_MS;
    if (updates < MIN_UPDATES_BEFORE_REFRESH || !due) {
      return;
    }
    updates = 0;
    refreshedAtMs = nowMs;
    double[] means = new double[hosts.size()];
    double[] weights = new double[hosts.size()];
    int measured = 0;
    for (HostRunTimes host : hosts.values()) {
      if (host.weight() > 0) {
        means[measured] = host.mean();
        weights[measured] = host.weight();
        measured++;
      }
    }
    fleet.refresh(Arrays.copyOf(means, measured), Arrays.copyOf(weights, measured));
    hosts.values().forEach(this::updateApplied);
  }

  private void updateApplied(HostRunTimes host) {
    double target = target(host);
    double before = host.appliedRatio();
    boolean differs = (target == 1) != (before == 1);
    if (differs || Math.abs(Math.log(target / before)) > MIN_CHANGE) {
      host.setAppliedRatio(target);
      changed.add(host.name());
    }
  }

  private double target(HostRunTimes host) {
    double weight = host.weight();
    if (weight <= 0) {
      return 1;
    }
    double above = host.mean() - fleet.reference();
    double precision = weight + 1 / fleet.variance();
    double shrunk = above * weight / precision;
    double errors = host.appliedRatio() == 1 ? STANDARD_ERRORS : STANDARD_ERRORS_TO_KEEP;
    boolean significant =
        fleet.unequal()
            ? Math.abs(shrunk) * Math.sqrt(precision) > errors
            : Math.abs(above) * Math.sqrt(weight) > OUTLIER_STANDARD_ERRORS;
    return significant && Math.abs(shrunk) > MIN_DIFFERENCE
        ? Math.exp(
            Math.max(-FleetSpread.MAX_DIFFERENCE, Math.min(FleetSpread.MAX_DIFFERENCE, shrunk)))
        : 1;
  }

  private static <V> Map<String, V> bounded(int maxSize) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > maxSize;
      }
    };
  }
}
