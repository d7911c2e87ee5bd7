package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.HostPace;

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
public final class HostPaces {
  /** A host counts as faster or slower from this ratio of run times on: 10%. */
  static final double LEAST_RATIO = 1.1;

  /** A host counts as much slower from this ratio of run times on. */
  static final double MUCH_SLOWER_RATIO = 1.5;

  // A single task counts no more than this, so that a host soon counts as usual again after one
  // that
  // stood still, or after a while in which everything on it was slow.
  private static final double MOST_RATIO = 2;

  // Twice the standard error: of hosts that are all alike one in twenty is taken for another.
  private static final double STANDARD_ERRORS = 2;
  // About the last twenty tasks of a host count, so that one that changes is seen some tasks later.
  private static final double FORGET = 0.95;
  // As if one task had taken as long as elsewhere.
  private static final double PRIOR_WEIGHT = 1;
  // Looking at all hosts costs little so seldom, and the middle one changes slowly.
  private static final int USUAL_AFTER = 50;
  // Deviation of the logarithm of run times within a step until it was measured, 20%.
  private static final double FIRST_VARIANCE = 0.04;
  private static final double VARIANCE_FORGET = 0.99;
  // Above the workers and the steps under way of the largest fleet that is planned for.
  private static final int MOST_HOSTS = 32_768;
  private static final int MOST_STEPS = 8192;

  private final Map<String, Learned> hosts = bounded(MOST_HOSTS);
  private final Map<String, Reference> steps = bounded(MOST_STEPS);
  private final Set<String> changed = new LinkedHashSet<>();
  private double usual;
  private int sinceUsual;
  private double variance = FIRST_VARIANCE;

  /** What is known of a host: logarithms of run times, less those of the same step elsewhere. */
  private static final class Learned {
    private double weight;
    private double sum;
    private HostPace pace = HostPace.USUAL;

    private double mean() {
      return sum / (weight + PRIOR_WEIGHT);
    }

    private void add(double difference, double share) {
      weight = weight * FORGET + share;
      sum = sum * FORGET + difference * share;
    }
  }

  /** What tasks of a step would have taken on a usual host, as logarithms. */
  private static final class Reference {
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
    Learned learned = hosts.computeIfAbsent(host, name -> new Learned());
    Reference reference = steps.computeIfAbsent(step, name -> new Reference());
    double onUsualHost = took - aboveUsual(learned);
    if (reference.count > 0) {
      double most = Math.log(MOST_RATIO);
      double difference = took - reference.sum / reference.count;
      learn(
          learned,
          Math.max(-most, Math.min(most, difference)),
          (double) reference.count / (reference.count + 1));
    }
    reference.count++;
    reference.sum += onUsualHost;
    HostPace before = learned.pace;
    learned.pace = judge(learned);
    if (learned.pace != before) {
      changed.add(host);
    }
  }

  private void learn(Learned learned, double difference, double share) {
    double unexplained = difference - aboveUsual(learned);
    variance = variance * VARIANCE_FORGET + unexplained * unexplained * (1 - VARIANCE_FORGET);
    learned.add(difference, share);
    sinceUsual++;
    if (sinceUsual >= USUAL_AFTER) {
      sinceUsual = 0;
      double[] means = hosts.values().stream().mapToDouble(Learned::mean).sorted().toArray();
      usual = means[means.length / 2];
    }
  }

  // Only differences between hosts can be measured, so the middle one of all hosts is the usual.
  private double aboveUsual(Learned learned) {
    return learned.mean() - usual;
  }

  private HostPace judge(Learned learned) {
    double above = aboveUsual(learned);
    double error = Math.sqrt(variance / Math.max(learned.weight, PRIOR_WEIGHT));
    if (Math.abs(above) < Math.max(Math.log(LEAST_RATIO), STANDARD_ERRORS * error)) {
      return HostPace.USUAL;
    }
    if (above < 0) {
      return HostPace.FASTER;
    }
    return above < Math.log(MUCH_SLOWER_RATIO) ? HostPace.SLOWER : HostPace.MUCH_SLOWER;
  }

  /** Returns the pace of a host, {@link HostPace#USUAL} if nothing is known of it. */
  public HostPace of(String host) {
    Learned learned = hosts.get(host);
    return learned == null ? HostPace.USUAL : learned.pace;
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
