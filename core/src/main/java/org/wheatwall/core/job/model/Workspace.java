package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Resource;

/**
 * Quota, weight and request limit of a customer.
 *
 * @param acceleratorQuota maximum accelerators that its jobs may hold at once, 0 for no limit
 * @param weight share of contended capacity relative to other workspaces, 1 if not given
 * @param requestsPerSecond limit on the rate of requests, 0 for no limit
 */
public record Workspace(Labels labels, int acceleratorQuota, int weight, int requestsPerSecond)
    implements Resource {
  private static final int MAX_WEIGHT = 1000;

  /** Validates and applies defaults. */
  public Workspace {
    labels = labels == null ? Labels.NONE : labels;
    weight = weight == 0 ? 1 : weight;
    Names.requireRange("weight", weight, 1, MAX_WEIGHT);
    Names.requireRange("acceleratorQuota", acceleratorQuota, 0, Integer.MAX_VALUE);
    Names.requireRange("requestsPerSecond", requestsPerSecond, 0, Integer.MAX_VALUE);
  }
}
