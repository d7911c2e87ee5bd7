package org.wheatwall.core.job.decision;

import java.util.Comparator;
import java.util.Optional;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/** Tells whether a gang could run if the whole zone were empty, and what comes closest. */
final class NeverFits {
  private NeverFits() {}

  /** Returns what is missing, empty if an empty zone would hold the gang. */
  static Optional<String> explain(Job job, Cluster cluster) {
    if (fitsQuickly(job, cluster)) {
      return Optional.empty();
    }
    boolean fits =
        PlanSearch.bestFit(
                cluster,
                job.adjacency(),
                job.tasks(),
                job.taskAmount(),
                host -> capacity(job, host))
            .isPresent();
    return fits ? Optional.empty() : Optional.of(closest(job, cluster));
  }

  // Most gangs fit into one of the first racks or hosts; that spares the search of the whole zone.
  private static boolean fitsQuickly(Job job, Cluster cluster) {
    for (RackState rack : cluster.racks()) {
      for (HostState host : rack.hosts()) {
        if (capacity(job, host).fits(job.taskAmount()) >= job.tasks()) {
          return true;
        }
      }
      if (job.adjacency() != Adjacency.SAME_HOST
          && GangFitter.count(
                  rack.hosts(), job.tasks(), job.taskAmount(), host -> capacity(job, host))
              >= job.tasks()) {
        return true;
      }
    }
    return false;
  }

  private static ResourceAmount capacity(Job job, HostState host) {
    ResourceAmount whole = host.usable() ? host.host().capacity() : ResourceAmount.ZERO;
    return host.roomFor(job, whole);
  }

  private static String closest(Job job, Cluster cluster) {
    String need = job.tasks() + " x " + text(job.taskAmount()) + " " + job.adjacency();
    Optional<HostState> largest =
        cluster.hosts().stream()
            .max(
                Comparator.comparingInt(
                        (HostState host) ->
                            Math.min(job.tasks(), capacity(job, host).fits(job.taskAmount())))
                    .thenComparingInt(host -> capacity(job, host).accelerators()));
    return largest
        .map(
            host ->
                "needs "
                    + need
                    + "; closest host "
                    + host.name()
                    + " holds "
                    + Math.min(job.tasks(), capacity(job, host).fits(job.taskAmount()))
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
