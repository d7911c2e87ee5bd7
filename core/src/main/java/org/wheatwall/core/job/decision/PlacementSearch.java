package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/** Finds a place for a gang on room that the caller defines, such as what could be reclaimed. */
final class PlacementSearch {
  private PlacementSearch() {}

  /** Returns the place that leaves the least room beside it, empty if nothing holds the gang. */
  static Optional<Placement> bestFit(
      Cluster cluster,
      Adjacency adjacency,
      int tasks,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> room) {
    return switch (adjacency) {
      case SAME_HOST -> onOneHost(cluster, tasks, amount, room);
      case SAME_RACK -> inOneRack(cluster, tasks, amount, room);
      case ANY ->
          GangFitter.fit(leastCapacityFirst(cluster.hosts(), amount, room), tasks, amount, room);
    };
  }

  private static Optional<Placement> onOneHost(
      Cluster cluster, int tasks, ResourceAmount amount, Function<HostState, ResourceAmount> room) {
    HostState best = null;
    int bestRoom = Integer.MAX_VALUE;
    for (HostState host : cluster.hosts()) {
      ResourceAmount available = room.apply(host);
      if (available.accelerators() < bestRoom && available.countFitting(amount) >= tasks) {
        best = host;
        bestRoom = available.accelerators();
      }
    }
    return best == null ? Optional.empty() : GangFitter.fit(List.of(best), tasks, amount, room);
  }

  private static Optional<Placement> inOneRack(
      Cluster cluster, int tasks, ResourceAmount amount, Function<HostState, ResourceAmount> room) {
    RackState best = null;
    int bestRoom = Integer.MAX_VALUE;
    for (RackState rack : cluster.racks()) {
      int inRack = 0;
      for (HostState host : rack.hosts()) {
        inRack += room.apply(host).accelerators();
      }
      if (inRack < bestRoom
          && GangFitter.countFitting(rack.hosts(), tasks, amount, room) >= tasks) {
        best = rack;
        bestRoom = inRack;
      }
    }
    return best == null
        ? Optional.empty()
        : GangFitter.fit(leastCapacityFirst(best.hosts(), amount, room), tasks, amount, room);
  }

  private static List<HostState> leastCapacityFirst(
      Iterable<HostState> hosts, ResourceAmount amount, Function<HostState, ResourceAmount> room) {
    List<HostState> ordered = new ArrayList<>();
    for (HostState host : hosts) {
      if (room.apply(host).countFitting(amount) > 0) {
        ordered.add(host);
      }
    }
    ordered.sort(
        Comparator.comparingInt((HostState host) -> room.apply(host).accelerators())
            .thenComparingInt(HostState::index));
    return ordered;
  }
}
