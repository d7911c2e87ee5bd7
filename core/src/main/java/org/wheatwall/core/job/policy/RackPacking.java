package org.wheatwall.core.job.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.decision.GangFitter;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * Places a gang in one rack if any rack holds it, even if the gang may span racks, so that entire
 * racks stay free for gangs that need one. Of the racks that hold it, chooses the one whose hosts
 * have the best speed for it ({@link SpeedOrder}), and of equal ones the fullest.
 */
public final class RackPacking implements PlacementRule {
  // Enough to find hosts of another speed if there are any, few enough for a fleet of hundreds of
  // hosts.
  private static final int MAX_RACKS_COMPARED = 16;

  // The rank of hosts of usual speed. Searching for faster ones at each placement would sort the
  // hosts of every rack, which is too slow for a decider that has only part of a core.
  private static final int ACCEPTABLE_RANK = 1;

  private final BestFit bestFit = new BestFit();

  @Override
  public Optional<Placement> place(Job job, ClusterView cluster) {
    if (job.adjacency() == Adjacency.SAME_HOST) {
      return bestFit.place(job, cluster);
    }
    Optional<Placement> inRack = inOneRack(job, cluster);
    boolean spansRacks = inRack.isEmpty() && job.adjacency() == Adjacency.ANY;
    return spansRacks ? bestFit.place(job, cluster) : inRack;
  }

  @Override
  public Optional<Placement> place(Job job, ClusterView cluster, SpeedDemand demand) {
    return cluster.runTimesDiffer()
        ? new FastEnoughPlacement(job, cluster, demand).find()
        : place(job, cluster);
  }

  private static Optional<Placement> inOneRack(Job job, ClusterView cluster) {
    Optional<Placement> best = Optional.empty();
    int bestRank = Integer.MAX_VALUE;
    int compared = 0;
    for (NavigableSet<RackState> group : cluster.racksWithFree(job.totalAccelerators())) {
      for (RackState rack : group) {
        if (bestRank <= ACCEPTABLE_RANK || (best.isPresent() && compared >= MAX_RACKS_COMPARED)) {
          return best;
        }
        compared++;
        Optional<Placement> placement = inRack(job, rack);
        int rank = placement.map(chosen -> worstRank(job, chosen, cluster)).orElse(bestRank);
        if (rank < bestRank) {
          best = placement;
          bestRank = rank;
        }
      }
    }
    return best;
  }

  private static Optional<Placement> inRack(Job job, RackState rack) {
    List<HostState> hosts = new ArrayList<>(rack.hosts());
    hosts.sort(SpeedOrder.of(job));
    return GangFitter.fit(
        hosts, job.tasks(), job.taskAmount(), host -> host.capacityNowFor(job, host.free()));
  }

  private static int worstRank(Job job, Placement placement, ClusterView cluster) {
    return placement.hosts().stream()
        .flatMap(name -> cluster.host(name).stream())
        .mapToInt(host -> SpeedOrder.rank(job, host.speed()))
        .max()
        .orElse(0);
  }
}
