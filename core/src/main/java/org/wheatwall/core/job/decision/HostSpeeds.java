package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.HostSpeed;

/**
 * Learns the relative speeds of worker hosts from the run times of tasks of the same step. Declared
 * run times are not used, since only tasks of one step are compared. A difference counts only if it
 * exceeds the usual variation among tasks of one step.
 *
 * <p>This detects lasting differences between hosts. A host on which running tasks become slow is
 * detected earlier from their progress, which the run supervisor monitors.
 *
 * <p>Memory is bounded: the least recently used host or step is evicted. Not thread-safe.
 */
public final class HostSpeeds {
  /** Ratio of run times from which a host counts as faster or slower: 10%. */
  static final double SLOWER_RATIO = 1.1;

  /** Ratio of run times from which a host counts as much slower. */
  static final double MUCH_SLOWER_RATIO = 1.5;

  // Limits the weight of a single task, so that a host soon counts as usual again after one task
  // that hung, or after a period in which all its tasks were slow.
  private static final double MAX_RATIO = 2;

  // At twice the standard error, one in twenty of equally fast hosts is misclassified.
  private static final double STANDARD_ERRORS = 2;
  // About the last 20 tasks of a host count, so that a change is detected within a few tasks.
  private static final double DECAY = 0.95;
  // The prior counts as much as one task that took as long as on other hosts.
  private static final double PRIOR_WEIGHT = 1;
  // Computing the median over all hosts is cheap at this interval, and the median changes slowly.
  private static final int MEDIAN_REFRESH_TASKS = 50;
  // Variance of the logarithm of run times within a step before any is observed: a standard
  // deviation of 20%.
  private static final double INITIAL_VARIANCE = 0.04;
  private static final double VARIANCE_DECAY = 0.99;
  // More than the workers and the active steps of the largest fleet that is planned for.
  private static final int MAX_HOSTS = 32_768;
  private static final int MAX_STEPS = 8192;

  private final Map<String, HostEstimate> hosts = bounded(MAX_HOSTS);
  private final Map<String, StepBaseline> steps = bounded(MAX_STEPS);
  private final Set<String> changed = new LinkedHashSet<>();
  private double medianHost;
  private int tasksSinceMedian;
  private double variance = INITIAL_VARIANCE;

  /** Mean difference of log run times on a host from those of the same step on other hosts. */
  private static final class HostEstimate {
    private double weight;
    private double sum;
    private HostSpeed speed = HostSpeed.USUAL;

    private double mean() {
      return sum / (weight + PRIOR_WEIGHT);
    }

    private void add(double difference, double share) {
      weight = weight * DECAY + share;
      sum = sum * DECAY + difference * share;
    }
  }

  /** Log run times of the tasks of a step, normalized to a host of median speed. */
  private static final class StepBaseline {
    private int count;
    private double sum;
  }

  /**
   * Records the run time of a task that ran on a single host from start to end.
   *
   * @param step unique name of the step that the task belongs to
   * @param runMs run time, milliseconds; less than 1 counts as 1
   */
  public void observe(String step, String host, long runMs) {
    double logRunMs = Math.log((double) Math.max(1, runMs));
    HostEstimate estimate = hosts.computeIfAbsent(host, name -> new HostEstimate());
    StepBaseline baseline = steps.computeIfAbsent(step, name -> new StepBaseline());
    double normalized = logRunMs - aboveMedian(estimate);
    if (baseline.count > 0) {
      double limit = Math.log(MAX_RATIO);
      double difference = logRunMs - baseline.sum / baseline.count;
      update(
          estimate,
          Math.max(-limit, Math.min(limit, difference)),
          (double) baseline.count / (baseline.count + 1));
    }
    baseline.count++;
    baseline.sum += normalized;
    HostSpeed before = estimate.speed;
    estimate.speed = classify(estimate);
    if (estimate.speed != before) {
      changed.add(host);
    }
  }

  private void update(HostEstimate estimate, double difference, double share) {
    double residual = difference - aboveMedian(estimate);
    variance = variance * VARIANCE_DECAY + residual * residual * (1 - VARIANCE_DECAY);
    estimate.add(difference, share);
    tasksSinceMedian++;
    if (tasksSinceMedian >= MEDIAN_REFRESH_TASKS) {
      tasksSinceMedian = 0;
      double[] means = hosts.values().stream().mapToDouble(HostEstimate::mean).sorted().toArray();
      medianHost = means[means.length / 2];
    }
  }

  // Only differences between hosts can be measured, so the median host is the reference.
  private double aboveMedian(HostEstimate estimate) {
    return estimate.mean() - medianHost;
  }

  private HostSpeed classify(HostEstimate estimate) {
    double above = aboveMedian(estimate);
    double error = Math.sqrt(variance / Math.max(estimate.weight, PRIOR_WEIGHT));
    if (Math.abs(above) < Math.max(Math.log(SLOWER_RATIO), STANDARD_ERRORS * error)) {
      return HostSpeed.USUAL;
    }
    if (above < 0) {
      return HostSpeed.FASTER;
    }
    return above < Math.log(MUCH_SLOWER_RATIO) ? HostSpeed.SLOWER : HostSpeed.MUCH_SLOWER;
  }

  /** Returns the speed of a host, {@link HostSpeed#USUAL} if the host is unknown. */
  public HostSpeed of(String host) {
    HostEstimate estimate = hosts.get(host);
    return estimate == null ? HostSpeed.USUAL : estimate.speed;
  }

  /** Returns and clears the set of hosts whose speed has changed. */
  public Set<String> takeChanged() {
    Set<String> result = Set.copyOf(changed);
    changed.clear();
    return result;
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
