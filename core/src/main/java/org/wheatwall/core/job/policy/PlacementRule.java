package org.wheatwall.core.job.policy;

import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Chooses where the tasks of a gang go, among what is free. */
public interface PlacementRule {
  /** Returns a place for the whole gang, empty if free capacity does not hold it. */
  Optional<Placement> place(Job job, ClusterView cluster);
}
