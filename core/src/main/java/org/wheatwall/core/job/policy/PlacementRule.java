package org.wheatwall.core.job.policy;

import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Chooses hosts for the tasks of a gang from the free capacity. */
public interface PlacementRule {
  /** Returns a placement of the whole gang, empty if it does not fit into the free capacity. */
  Optional<Placement> place(Job job, ClusterView cluster);
}
