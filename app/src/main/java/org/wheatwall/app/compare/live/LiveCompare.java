package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/** Plays the same live days with all mechanisms, and without each of those that decide. */
public final class LiveCompare {
  private static final List<Mechanism> DECIDING =
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
   * What came of one variant, seed by seed.
   *
   * @param label what was switched off
   */
  record Variant(String label, List<LiveResult> results) {
    double mean(ToDoubleFunction<LiveResult> value) {
      return results.stream().mapToDouble(value).average().orElse(0);
    }

    /** Returns the mean difference of worth from {@code other}, seed by seed. */
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
   * @param loadPercent arrivals in percent of the usual
   * @param seconds length of a day, seconds
   * @param roomPercent share of the accelerators that is kept for urgent work
   * @param seeds days, one seed each
   */
  public LiveCompare(int hosts, int loadPercent, int seconds, int roomPercent, int seeds) {
    this.spec = new LiveSpec(hosts, loadPercent, seconds, roomPercent, 1, Mechanisms.ALL);
    this.seeds = seeds;
  }

  /** Plays everything and returns the variants, the one with all mechanisms first. */
  List<Variant> play() {
    List<Variant> variants = new ArrayList<>();
    variants.add(play("nothing off", Mechanisms.ALL));
    for (Mechanism mechanism : DECIDING) {
      variants.add(play(mechanism.label(), Mechanisms.without(mechanism)));
    }
    return variants;
  }

  private Variant play(String label, Mechanisms mechanisms) {
    List<LiveResult> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      LiveSpec day =
          new LiveSpec(
              spec.hosts(),
              spec.loadPercent(),
              spec.seconds(),
              spec.roomPercent(),
              seed,
              mechanisms);
      results.add(new LiveDay(day).play());
    }
    return new Variant(label, results);
  }

  /** Returns the lines of a table and, through {@code chart}, of a picture of it. */
  public List<String> table(List<String> chart) {
    List<Variant> variants = play();
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
        variant.mean(LiveResult::thrownAway),
        variant.mean(LiveResult::stops),
        variant.mean(LiveResult::refusals),
        variant.mean(LiveResult::fragmentation),
        variant.mean(LiveResult::breaches),
        variant.mean(LiveResult::unfinished));
  }
}
