package org.wheatwall.core.batch.model;

import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.Objective;

/**
 * What the operator's configuration says about scheduling.
 *
 * @param urgentGuarantees accelerators that each workspace can always have for its urgent jobs
 * @param permitQueues queues whose steps may run only where a permit for them was given
 * @param objectives how soon the jobs of each queue are to be done
 */
public record SchedulingRules(
    Map<String, Integer> urgentGuarantees,
    Set<String> permitQueues,
    Map<String, Objective> objectives) {
  /** No rules. */
  public static final SchedulingRules NONE = new SchedulingRules(Map.of(), Set.of(), Map.of());

  /** Copies the collections. */
  public SchedulingRules {
    urgentGuarantees = Map.copyOf(urgentGuarantees);
    permitQueues = Set.copyOf(permitQueues);
    objectives = Map.copyOf(objectives);
  }

  /** Returns rules that only name queues whose steps need permits. */
  public static SchedulingRules ofPermitQueues(Set<String> queues) {
    return new SchedulingRules(Map.of(), queues, Map.of());
  }
}
