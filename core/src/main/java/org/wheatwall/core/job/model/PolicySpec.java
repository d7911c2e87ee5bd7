package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.common.Selector;

/**
 * A scheduling policy and the selector of the jobs it applies to. Of several policies that match a
 * job, the one with the highest precedence applies; among equals, the first by name.
 *
 * @param jobSelector label selector over jobs
 * @param precedence rank among policies that match the same job
 * @param completionWeight weight of completion time in the blend algorithm, 0 to 100
 * @param fragmentationWeight weight of fragmentation in the blend algorithm, 0 to 100
 * @param shadow whether it only reports the decisions it would make
 */
public record PolicySpec(
    Labels labels,
    PolicyAlgorithm algorithm,
    String jobSelector,
    int precedence,
    int completionWeight,
    int fragmentationWeight,
    boolean shadow)
    implements Resource {
  private static final int MAX_WEIGHT = 100;

  /** Validates, including the syntax of the selector. */
  public PolicySpec {
    labels = labels == null ? Labels.NONE : labels;
    jobSelector = Selector.parse(jobSelector).text();
    if (algorithm == null) {
      throw Refusal.invalid(
          "algorithm is missing",
          "give first-fit, best-fit, rack-packing, shortest-first, backfill, priority-first or blend");
    }
    Names.requireRange("precedence", precedence, 0, 1000);
    Names.requireRange("completionWeight", completionWeight, 0, MAX_WEIGHT);
    Names.requireRange("fragmentationWeight", fragmentationWeight, 0, MAX_WEIGHT);
  }

  /** Returns a copy of this policy with {@code shadow} unset. */
  public PolicySpec asActive() {
    return new PolicySpec(
        labels, algorithm, jobSelector, precedence, completionWeight, fragmentationWeight, false);
  }
}
