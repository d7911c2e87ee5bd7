package org.wheatwall.core.job.decision;

import java.util.Map;

/**
 * State of the division of capacity between workspaces, for metrics.
 *
 * @param shares the largest dominant shares by workspace, divided by the weights
 * @param equalShare share of each workspace if what is held were divided equally
 * @param passes scheduling passes that divided capacity by share
 * @param stops attempts stopped for other jobs
 * @param stopsAboveShare of these, the attempts of workspaces above their share
 * @param lateStarts starts of jobs that could not meet their objective any more
 */
public record WorkspaceShareStatus(
    Map<String, Double> shares,
    double equalShare,
    long passes,
    long stops,
    long stopsAboveShare,
    long lateStarts) {
  /** Maximum number of workspaces that are told. */
  public static final int MAX_WORKSPACES = 100;

  /** Copies the shares. */
  public WorkspaceShareStatus {
    shares = Map.copyOf(shares);
  }

  /** Returns the largest share, 0 if no workspace holds anything. */
  public double largestShare() {
    return shares.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
  }
}
