package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.HostSpeed;

/**
 * Learns how fast worker hosts are compared with each other, from how long tasks of the same step
 * took on them. Declared run times do not matter, since only tasks of one step are compared, and a
 * difference counts once it is larger than what tasks of one step differ by anyway.
 *
 * <p>This is about lasting differences between hosts. A host whose tasks turn slow while they run
 * is found sooner by their progress, which the supervisor of runs watches.
 *
 * <p>Sizes are bounded; the host or step that was used least recently is forgotten first. Not
 * thread-safe.
 */
public final class HostSpeeds {
  /** A host counts as faster or slower from this ratio of run times on: 10%. */
  static final double SLOWER_RATIO = 1.1;

  /** A host counts as much slower from this ratio of run times on. */
  static final double MUCH_SLOWER_RATIO = 1.5;

  // A single task counts no more than this, so that a host soon counts as usual again after one
  // that
  // stood still, or after a while in which everything on it was slow.
  private static final double MAX_RATIO = 2;

  // Twice the standard error: of hosts that are all alike one in twenty is taken for another.
  private static final double STANDARD_ERRORS = 2;
  // About the last twenty tasks of a host count, so that one that changes is seen some tasks later.
  private static final double DECAY = 0.95;
  // As if one task had taken as long as elsewhere.
  private static final double PRIOR_WEIGHT = 1;
  // Looking at all hosts costs little so seldom, and the middle one changes slowly.
  private static final int MEDIAN_REFRESH_TASKS = 50;
  // Deviation of the logarithm of run times within a step until it was measured, 20%.
  private static final double INITIAL_VARIANCE = 0.04;
  private static final double VARIANCE_DECAY = 0.99;
  // Above the workers and the steps under way of the largest fleet that is planned for.
  private static final int MAX_HOSTS = 32_768;
  private static final int MAX_STEPS = 8192;

  private final Map<String, HostEstimate> hosts = bounded(MAX_HOSTS);
  private final Map<String, StepBaseline> steps = bounded(MAX_STEPS);
  private final Set<String> changed = new LinkedHashSet<>();
  private double medianHost;
  private int tasksSinceMedian;
  private double variance = INITIAL_VARIANCE;

  /** What is known of a host: logarithms of run times, less those of the same step elsewhere. */
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

  /** What tasks of a step would have taken on a usual host, as logarithms. */
  private static final class StepBaseline {
    private int count;
    private double sum;
  }

  /**
   * Notes how long a task took that ran from its start to its end on one host.
   *
   * @param step name of the step, the same for all its tasks and unlike that of any other
   * @param tookMs milliseconds, at least 1
   */
  public void observe(String step, String host, long tookMs) {
    double took = Math.log((double) Math.max(1, tookMs));
    HostEstimate estimate = hosts.computeIfAbsent(host, name -> new HostEstimate());
    StepBaseline baseline = steps.computeIfAbsent(step, name -> new StepBaseline());
    double onUsualHost = took - aboveMedian(estimate);
    if (baseline.count > 0) {
      double most = Math.log(MAX_RATIO);
      double difference = took - baseline.sum / baseline.count;
      update(
          estimate,
          Math.max(-most, Math.min(most, difference)),
          (double) baseline.count / (baseline.count + 1));
    }
    baseline.count++;
    baseline.sum += onUsualHost;
    HostSpeed before = estimate.speed;
    estimate.speed = classify(estimate);
    if (estimate.speed != before) {
      changed.add(host);
    }
  }

  private void update(HostEstimate estimate, double difference, double share) {
    double unexplained = difference - aboveMedian(estimate);
    variance = variance * VARIANCE_DECAY + unexplained * unexplained * (1 - VARIANCE_DECAY);
    estimate.add(difference, share);
    tasksSinceMedian++;
    if (tasksSinceMedian >= MEDIAN_REFRESH_TASKS) {
      tasksSinceMedian = 0;
      double[] means = hosts.values().stream().mapToDouble(HostEstimate::mean).sorted().toArray();
      medianHost = means[means.length / 2];
    }
  }

  // Only differences between hosts can be measured, so the middle one of all hosts is the usual.
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

  /** Returns the pace of a host, {@link HostSpeed#USUAL} if nothing is known of it. */
  public HostSpeed of(String host) {
    HostEstimate estimate = hosts.get(host);
    return estimate == null ? HostSpeed.USUAL : estimate.speed;
  }

  /** Returns the hosts whose pace has changed since this was last called. */
  public Set<String> takeChanged() {
    Set<String> taken = Set.copyOf(changed);
    changed.clear();
    return taken;
  }

  private static <V> Map<String, V> bounded(int most) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > most;
      }
    };
  }
}
