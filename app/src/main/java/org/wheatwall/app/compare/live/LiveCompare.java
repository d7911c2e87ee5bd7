package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/** Runs the same live simulations with all mechanisms and without each scheduling mechanism. */
public final class LiveCompare {
  private static final List<Mechanism> SCHEDULING_MECHANISMS =
      List.of(
          Mechanism.URGENT_ROOM,
          Mechanism.RACK_PACKING,
          Mechanism.FIRST_JOB_ROOM,
          Mechanism.LEARNED_RUN_TIMES,
          Mechanism.CHEAPEST_STOPS,
          Mechanism.SLOW_WORKERS);

  private final LiveSpec spec;
  private final int seeds;

  /**
   * The results of one variant, one per seed.
   *
   * @param label the mechanism that was disabled
   */
  record Variant(String label, List<LiveResult> results) {
    double mean(ToDoubleFunction<LiveResult> value) {
      return results.stream().mapToDouble(value).average().orElse(0);
    }

    /** Returns the mean over the seeds of the difference in worth from {@code other}. */
    double difference(Variant other) {
      return IntStream.range(0, results.size()).mapToDouble(i -> gap(other, i)).average().orElse(0);
    }

    /** Returns the standard error of that difference. */
    double standardError(Variant other) {
      double mean = difference(other);
      double squares =
          IntStream.range(0, results.size())
              .mapToDouble(i -> Math.pow(gap(other, i) - mean, 2))
              .sum();
      int count = results.size();
      return count < 2 ? 0 : Math.sqrt(squares / (count - 1) / count);
    }

    private double gap(Variant other, int seed) {
      return results.get(seed).worth() - other.results.get(seed).worth();
    }
  }

  /**
   * Creates a comparison.
   *
   * @param hosts worker hosts
   * @param loadPercent arrival rate as a percentage of the standard rate
   * @param seconds time in which jobs arrive, seconds
   * @param reservedPercent percentage of the accelerators that is reserved for urgent work
   * @param seeds number of simulations per variant, one seed each
   */
  public LiveCompare(int hosts, int loadPercent, int seconds, int reservedPercent, int seeds) {
    this.spec = new LiveSpec(hosts, loadPercent, seconds, reservedPercent, 1, Mechanisms.ALL);
    this.seeds = seeds;
  }

  /** Runs all simulations and returns the variants, the one with all mechanisms first. */
  List<Variant> run() {
    List<Variant> variants = new ArrayList<>();
    variants.add(run("nothing off", Mechanisms.ALL));
    for (Mechanism mechanism : SCHEDULING_MECHANISMS) {
      variants.add(run(mechanism.label(), Mechanisms.without(mechanism)));
    }
    return variants;
  }

  private Variant run(String label, Mechanisms mechanisms) {
    List<LiveResult> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      LiveSpec simulation =
          new LiveSpec(
              spec.hosts(),
              spec.loadPercent(),
              spec.seconds(),
              spec.reservedPercent(),
              seed,
              mechanisms);
      results.add(new LiveSimulation(simulation).run());
    }
    return new Variant(label, results);
  }

  /** Returns the lines of a table and adds those of its SVG chart to {@code chart}. */
  public List<String> table(List<String> chart) {
    List<Variant> variants = run();
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "%-18s %6s %19s %7s %7s %8s %6s %8s %7s %9s %11s",
            "off",
            "worth",
            "difference (s.e.)",
            "urgent",
            "others",
            "wasted",
            "stops",
            "no room",
            "fragm.",
            "breaches",
            "unfinished"));
    variants.forEach(variant -> lines.add(row(variant, variants.get(0))));
    chart.addAll(new LiveChart(variants).lines());
    return lines;
  }

  private static String row(Variant variant, Variant all) {
    return String.format(
        Locale.ROOT,
        "%-18s %6.3f %+9.4f (%.4f)  %7.3f %7.3f %8.3f %6.0f %8.0f %7.3f %9.0f %11.1f",
        variant.label(),
        variant.mean(LiveResult::worth),
        variant.difference(all),
        variant.standardError(all),
        variant.mean(LiveResult::live),
        variant.mean(LiveResult::others),
        variant.mean(LiveResult::lostWork),
        variant.mean(LiveResult::stops),
        variant.mean(LiveResult::refusals),
        variant.mean(LiveResult::fragmentation),
        variant.mean(LiveResult::breaches),
        variant.mean(LiveResult::unfinished));
  }
}
