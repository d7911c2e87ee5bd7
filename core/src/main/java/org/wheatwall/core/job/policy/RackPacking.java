package org.wheatwall.core.job.policy;

import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * Keeps every gang in one rack where one holds it, the fullest first, even if the gang may be
 * scattered; so racks stay free as a whole for gangs that need one.
 */
public final class RackPacking implements PlacementRule {
  private final BestFit bestFit = new BestFit();

  @Override
  public Optional<Placement> place(Job job, ClusterView cluster) {
    if (job.adjacency() == Adjacency.ANY) {
      Optional<Placement> inRack = BestFit.inOneRack(job, cluster);
      if (inRack.isPresent()) {
        return inRack;
      }
    }
    return bestFit.place(job, cluster);
  }
}
