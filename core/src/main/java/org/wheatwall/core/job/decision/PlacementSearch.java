package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/** Finds placements on capacity given by the caller, such as free and reclaimable capacity. */
final class PlacementSearch {
  private PlacementSearch() {}

  /** Returns the placement that leaves the least capacity over, empty if the gang does not fit. */
  static Optional<Placement> bestFit(
      Cluster cluster,
      Adjacency adjacency,
      int tasks,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    return switch (adjacency) {
      case SAME_HOST -> onOneHost(cluster, tasks, amount, available);
      case SAME_RACK -> inOneRack(cluster, tasks, amount, available);
      case ANY ->
          GangFitter.fit(
              leastCapacityFirst(cluster.hosts(), amount, available), tasks, amount, available);
    };
  }

  private static Optional<Placement> onOneHost(
      Cluster cluster,
      int tasks,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    HostState best = null;
    int leastAvailable = Integer.MAX_VALUE;
    for (HostState host : cluster.hosts()) {
      ResourceAmount capacity = available.apply(host);
      if (capacity.accelerators() < leastAvailable && capacity.countFitting(amount) >= tasks) {
        best = host;
        leastAvailable = capacity.accelerators();
      }
    }
    return best == null
        ? Optional.empty()
        : GangFitter.fit(List.of(best), tasks, amount, available);
  }

  private static Optional<Placement> inOneRack(
      Cluster cluster,
      int tasks,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    RackState best = null;
    int leastAvailable = Integer.MAX_VALUE;
    for (RackState rack : cluster.racks()) {
      int accelerators = 0;
      for (HostState host : rack.hosts()) {
        accelerators += available.apply(host).accelerators();
      }
      if (accelerators < leastAvailable
          && GangFitter.countFitting(rack.hosts(), tasks, amount, available) >= tasks) {
        best = rack;
        leastAvailable = accelerators;
      }
    }
    return best == null
        ? Optional.empty()
        : GangFitter.fit(
            leastCapacityFirst(best.hosts(), amount, available), tasks, amount, available);
  }

  // The hosts come in the order of their indexes, so that groups by capacity need no sort.
  private static List<HostState> leastCapacityFirst(
      Iterable<HostState> hosts,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    NavigableMap<Integer, List<HostState>> byAccelerators = new TreeMap<>();
    for (HostState host : hosts) {
      ResourceAmount capacity = available.apply(host);
      if (capacity.countFitting(amount) > 0) {
        byAccelerators
            .computeIfAbsent(capacity.accelerators(), accelerators -> new ArrayList<>())
            .add(host);
      }
    }
    List<HostState> ordered = new ArrayList<>();
    byAccelerators.values().forEach(ordered::addAll);
    return ordered;
  }
}
