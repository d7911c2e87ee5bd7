package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/** Checks whether a gang would fit if the zone were empty, and describes what is missing. */
final class FeasibilityCheck {
  private FeasibilityCheck() {}

  /** Returns whether the gang would fit if the zone were empty. */
  static boolean fitsEmptyZone(Job job, Cluster cluster) {
    return switch (job.adjacency()) {
      case SAME_HOST -> cluster.hosts().stream().anyMatch(host -> fits(job, List.of(host)));
      case SAME_RACK -> cluster.racks().stream().anyMatch(rack -> fits(job, rack.hosts()));
      case ANY -> fits(job, cluster.hosts());
    };
  }

  private static boolean fits(Job job, Collection<HostState> hosts) {
    int tasks =
        GangFitter.countFitting(hosts, job.tasks(), job.taskAmount(), host -> capacity(job, host));
    return tasks >= job.tasks();
  }

  private static ResourceAmount capacity(Job job, HostState host) {
    return host.usable() ? host.capacityFor(job, host.host().capacity()) : ResourceAmount.ZERO;
  }

  /** Returns the needs of the gang and the host that comes closest to them. */
  static String describeShortfall(Job job, Cluster cluster) {
    String need = job.tasks() + " x " + text(job.taskAmount()) + " " + job.adjacency();
    Optional<HostState> closest =
        cluster.hosts().stream()
            .max(
                Comparator.comparingInt(
                        (HostState host) ->
                            Math.min(
                                job.tasks(), capacity(job, host).countFitting(job.taskAmount())))
                    .thenComparingInt(host -> capacity(job, host).accelerators()));
    return closest
        .map(
            host ->
                "needs "
                    + need
                    + "; closest host "
                    + host.name()
                    + " holds "
                    + Math.min(job.tasks(), capacity(job, host).countFitting(job.taskAmount()))
                    + " tasks with "
                    + text(host.host().capacity()))
        .orElse("needs " + need + "; the zone has no hosts");
  }

  private static String text(ResourceAmount amount) {
    return amount.accelerators()
        + " accelerators, "
        + amount.processors()
        + " processors, "
        + amount.memoryMb()
        + " MiB";
  }
}
