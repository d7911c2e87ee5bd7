package org.wheatwall.app.compare;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.OutputFiles;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.app.compare.live.LiveCompare;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;

/** Compares scheduling policies on the same seeded job streams. */
public final class CompareVerb implements Verb {
  // Student's t quantile for a two-sided 95% interval with 9 degrees of freedom.
  private static final double STUDENT_T_95 = 2.262;
  private static final int DEFAULT_SEEDS = 10;
  private static final int DEFAULT_LIVE_HOSTS = 33;
  private static final int DEFAULT_LIVE_LOAD = 100;
  private static final int DEFAULT_LIVE_SECONDS = 120;
  private static final int DEFAULT_RESERVED_PERCENT = 45;

  @Override
  public String name() {
    return "compare";
  }

  @Override
  public String summary() {
    return "compare scheduling policies on the same job streams";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("compare [OPTIONS]")
            .value("hosts", "worker hosts, default 30")
            .value("hosts-per-rack", "hosts in a rack, default 8")
            .value("accelerators", "accelerators of a host, default 8")
            .value("jobs", "jobs in a stream, default 2000")
            .value(
                "load",
                "offered load, percent of capacity, default 90; with --live percent of the usual, 100")
            .value("seeds", "streams, one seed each, default 10")
            .value("starvation-seconds", "wait after which a job may reclaim, default 3600")
            .flag("live", "play urgent gangs, slow workers and changes of decider instead")
            .value("seconds", "with --live: length of a day, default 120")
            .value("room", "with --live: percent kept for urgent work, default 45")
            .value("chart", "with --live: write a chart to this file, as SVG");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.has("live")) {
      return live(options, console);
    }
    int seeds = options.integer("seeds", DEFAULT_SEEDS);
    int starvationMs = options.integer("starvation-seconds", 3600) * 1000;
    console.out(
        String.format(
            "%-15s %22s %10s %10s %16s %22s %12s %8s %9s",
            "policy",
            "completion s (95%)",
            "p99 s",
            "slowdown",
            "fragmentation",
            "large wait s (longest)",
            "p99 us/pass",
            "finished",
            "breaches"));
    for (PolicySpec policy : candidates()) {
      List<ReplayResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        StreamSpec spec = spec(options, seed);
        results.add(new Replay(spec, policy, starvationMs).run(new JobStream(spec).generate()));
      }
      console.out(row(label(policy), results));
    }
    return DONE;
  }

  private static int live(VerbOptions options, Console console) throws ParseException {
    LiveCompare comparison =
        new LiveCompare(
            options.integer("hosts", DEFAULT_LIVE_HOSTS),
            options.integer("load", DEFAULT_LIVE_LOAD),
            options.integer("seconds", DEFAULT_LIVE_SECONDS),
            options.integer("room", DEFAULT_RESERVED_PERCENT),
            options.integer("seeds", DEFAULT_SEEDS));
    List<String> chart = new ArrayList<>();
    comparison.table(chart).forEach(console::out);
    if (options.has("chart")) {
      OutputFiles.write(options.required("chart"), chart);
    }
    return DONE;
  }

  private static StreamSpec spec(VerbOptions options, int seed) throws ParseException {
    return new StreamSpec(
        options.integer("hosts", 30),
        options.integer("hosts-per-rack", 8),
        options.integer("accelerators", 8),
        options.integer("jobs", 2000),
        options.integer("load", 90),
        seed);
  }

  private static List<PolicySpec> candidates() {
    List<PolicySpec> policies = new ArrayList<>();
    for (PolicyAlgorithm algorithm : PolicyAlgorithm.values()) {
      if (algorithm != PolicyAlgorithm.BLEND) {
        policies.add(policy(algorithm, 0, 0));
      }
    }
    policies.add(policy(PolicyAlgorithm.BLEND, 70, 30));
    policies.add(policy(PolicyAlgorithm.BLEND, 30, 70));
    return policies;
  }

  private static PolicySpec policy(PolicyAlgorithm algorithm, int completion, int fragmentation) {
    return new PolicySpec(Labels.NONE, algorithm, "", 1, completion, fragmentation, false);
  }

  private static String label(PolicySpec policy) {
    return policy.algorithm() == PolicyAlgorithm.BLEND
        ? "blend-" + policy.completionWeight() + "-" + policy.fragmentationWeight()
        : policy.algorithm().toString();
  }

  private static String row(String label, List<ReplayResult> results) {
    return String.format(
        "%-15s %12.0f +- %6.0f %10.0f %10.2f %8.3f +- %.3f %10.0f (%8.0f) %12.0f %8.0f %9.0f",
        label,
        mean(results, ReplayResult::meanCompletionSeconds),
        halfWidth(results, ReplayResult::meanCompletionSeconds),
        mean(results, ReplayResult::p99CompletionSeconds),
        mean(results, ReplayResult::meanSlowdown),
        mean(results, ReplayResult::fragmentation),
        halfWidth(results, ReplayResult::fragmentation),
        mean(results, ReplayResult::meanLargeWaitSeconds),
        results.stream().mapToDouble(ReplayResult::longestLargeWaitSeconds).max().orElse(0),
        mean(results, ReplayResult::p99DecisionMicros),
        mean(results, ReplayResult::finished),
        mean(results, result -> result.guaranteeBreaches()));
  }

  private static double mean(List<ReplayResult> results, ToDoubleFunction<ReplayResult> value) {
    return results.stream().mapToDouble(value).average().orElse(0);
  }

  // Half width of the 95% confidence interval over the seeds; exact for 10 seeds.
  private static double halfWidth(
      List<ReplayResult> results, ToDoubleFunction<ReplayResult> value) {
    double mean = mean(results, value);
    double squares =
        results.stream().mapToDouble(r -> Math.pow(value.applyAsDouble(r) - mean, 2)).sum();
    int count = results.size();
    return count < 2 ? 0 : STUDENT_T_95 * Math.sqrt(squares / (count - 1) / count);
  }
}
