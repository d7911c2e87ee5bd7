package org.wheatwall.core.batch.model;

import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.Objective;

/**
 * Scheduling rules of the operator's configuration.
 *
 * @param urgentGuarantees accelerators guaranteed to the urgent jobs of each workspace
 * @param permitQueues queues whose steps may run only on workers for which a permit was granted
 * @param objectives completion objective of the jobs of each queue
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

  /** Returns rules that contain only the queues whose steps need permits. */
  public static SchedulingRules ofPermitQueues(Set<String> queues) {
    return new SchedulingRules(Map.of(), queues, Map.of());
  }
}
