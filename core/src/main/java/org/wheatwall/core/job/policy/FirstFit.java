package org.wheatwall.core.job.policy;

import java.util.Comparator;
import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.decision.GangFitter;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Chooses the first hosts, in cluster order, that hold the gang. */
public final class FirstFit implements PlacementRule {
  @Override
  public Optional<Placement> place(Job job, ClusterView cluster) {
    if (job.adjacency() == Adjacency.SAME_RACK) {
      return cluster.racksWithFree(job.totalAccelerators()).stream()
          .flatMap(group -> group.stream())
          .filter(rack -> fits(job, rack))
          .min(Comparator.comparingInt(RackState::index))
          .flatMap(rack -> fit(job, rack.hosts()));
    }
    if (job.adjacency() == Adjacency.SAME_HOST) {
      for (HostState host :
          new HostsInClusterOrder(cluster.hostsWithFree(job.totalAccelerators()))) {
        Optional<Placement> placement = fit(job, java.util.List.of(host));
        if (placement.isPresent()) {
          return placement;
        }
      }
      return Optional.empty();
    }
    return fit(
        job, new HostsInClusterOrder(cluster.hostsWithFree(job.taskAmount().accelerators())));
  }

  private static boolean fits(Job job, RackState rack) {
    return GangFitter.countFitting(
            rack.hosts(),
            job.tasks(),
            job.taskAmount(),
            host -> host.capacityNowFor(job, host.free()))
        == job.tasks();
  }

  private static Optional<Placement> fit(Job job, Iterable<HostState> hosts) {
    return GangFitter.fit(
        hosts, job.tasks(), job.taskAmount(), host -> host.capacityNowFor(job, host.free()));
  }
}
