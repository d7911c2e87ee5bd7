package org.wheatwall.core.job.policy;

import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Chooses hosts for the tasks of a gang from the free capacity. */
public interface PlacementRule {
  /** Returns a placement of the whole gang, empty if it does not fit into the free capacity. */
  Optional<Placement> place(Job job, ClusterView cluster);

  /**
   * Returns a placement of the whole gang on hosts that are fast enough, empty if there is none. A
   * rule that does not consider speeds returns the same as without a demand.
   */
  default Optional<Placement> place(Job job, ClusterView cluster, SpeedDemand demand) {
    return place(job, cluster);
  }
}
