package org.wheatwall.core.job.shadow;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.PolicySpec;

/** The shadow runs of candidate policies, by policy name. Not thread-safe. */
public final class ShadowRuns {
  /**
   * Maximum number of concurrent candidates; each costs as much processor time and memory as the
   * active policies.
   */
  public static final int MAX_CANDIDATES = 2;

  private final SchedulerSettings settings;
  private final Map<String, ShadowRun> runs = new TreeMap<>();

  /** Creates an empty set of candidates. */
  public ShadowRuns(SchedulerSettings settings) {
    this.settings = settings;
  }

  /**
   * Starts candidates that are new or have changed, and ends those that are no longer configured.
   */
  public void configure(Map<String, PolicySpec> policies, Scheduler activeScheduler) {
    Map<String, PolicySpec> wanted = new HashMap<>();
    policies.forEach(
        (name, spec) -> {
          if (spec.shadow()) {
            wanted.put(name, spec);
          }
        });
    runs.entrySet().removeIf(entry -> !entry.getValue().spec().equals(wanted.get(entry.getKey())));
    for (Map.Entry<String, PolicySpec> entry : new TreeMap<>(wanted).entrySet()) {
      if (!runs.containsKey(entry.getKey()) && runs.size() < MAX_CANDIDATES) {
        runs.put(entry.getKey(), new ShadowRun(entry.getValue(), activeScheduler, settings));
      }
    }
  }

  /** Applies {@code action} to every candidate. */
  public void forEach(Consumer<ShadowRun> action) {
    runs.values().forEach(action);
  }

  /** Returns the candidates by name. */
  public Map<String, ShadowRun> runs() {
    return Map.copyOf(runs);
  }

  /** Ends all candidates. */
  public void clear() {
    runs.clear();
  }
}
