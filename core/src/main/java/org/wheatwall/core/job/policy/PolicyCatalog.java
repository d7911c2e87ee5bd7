package org.wheatwall.core.job.policy;

import org.wheatwall.core.job.model.PolicySpec;

/** Creates scheduling policies from their specifications. */
public final class PolicyCatalog {
  private PolicyCatalog() {}

  /** Returns the policy for {@code spec}. */
  public static SchedulingPolicy create(PolicySpec spec) {
    return switch (spec.algorithm()) {
      case FIRST_FIT ->
          new SchedulingPolicy(new SubmissionOrder(), new FirstFit(), Backfill.GREEDY);
      case BEST_FIT -> new SchedulingPolicy(new SubmissionOrder(), new BestFit(), Backfill.GREEDY);
      case RACK_PACKING ->
          new SchedulingPolicy(new SubmissionOrder(), new RackPacking(), Backfill.GREEDY);
      case SHORTEST_FIRST ->
          new SchedulingPolicy(new ShortestExpectedFirst(1), new BestFit(), Backfill.GREEDY);
      case BACKFILL ->
          new SchedulingPolicy(new SubmissionOrder(), new FirstFit(), Backfill.RESERVING);
      case PRIORITY_FIRST ->
          new SchedulingPolicy(new PriorityFirst(), new RackPacking(), Backfill.RESERVING);
      case BLEND -> blend(spec);
    };
  }

  private static SchedulingPolicy blend(PolicySpec spec) {
    int sum = Math.max(1, spec.completionWeight() + spec.fragmentationWeight());
    double completion = (double) spec.completionWeight() / sum;
    PlacementRule placement = spec.fragmentationWeight() > 0 ? new RackPacking() : new BestFit();
    return new SchedulingPolicy(new ShortestExpectedFirst(completion), placement, Backfill.GREEDY);
  }
}
