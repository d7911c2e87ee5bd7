package org.wheatwall.core.job.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.decision.GangFitter;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * Chooses the hosts, and the rack, with the least free capacity that hold the gang, which keeps
 * other hosts entirely free.
 */
public final class BestFit implements PlacementRule {
  @Override
  public Optional<Placement> place(Job job, ClusterView cluster) {
    return switch (job.adjacency()) {
      case SAME_HOST -> onOneHost(job, cluster);
      case SAME_RACK -> inOneRack(job, cluster);
      case ANY -> anywhere(job, cluster);
    };
  }

  private static Optional<Placement> onOneHost(Job job, ClusterView cluster) {
    for (NavigableSet<HostState> group : cluster.hostsWithFree(job.totalAccelerators())) {
      for (HostState host : group) {
        Optional<Placement> placement = fit(job, List.of(host));
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  /** Returns a placement in the rack with the least free capacity that holds the gang. */
  static Optional<Placement> inOneRack(Job job, ClusterView cluster) {
    for (NavigableSet<RackState> group : cluster.racksWithFree(job.totalAccelerators())) {
      for (RackState rack : group) {
        Optional<Placement> placement = inRack(job, rack);
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  private static Optional<Placement> inRack(Job job, RackState rack) {
    List<HostState> hosts = new ArrayList<>(rack.hosts());
    hosts.sort(
        Comparator.comparingInt((HostState host) -> host.free().accelerators())
            .thenComparingInt(HostState::index));
    return fit(job, hosts);
  }

  private static Optional<Placement> anywhere(Job job, ClusterView cluster) {
    Iterable<HostState> smallestFirst =
        () ->
            cluster.hostsWithFree(job.taskAmount().accelerators()).stream()
                .flatMap(NavigableSet::stream)
                .iterator();
    return fit(job, smallestFirst);
  }

  private static Optional<Placement> fit(Job job, Iterable<HostState> hosts) {
    return GangFitter.fit(
        hosts, job.tasks(), job.taskAmount(), host -> host.capacityNowFor(job, host.free()));
  }
}
