package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * Validates the placements that policies propose: the whole gang, on usable hosts with enough free
 * capacity, with the adjacency of the job. Policies are not trusted with this, since a policy may
 * be an untested candidate.
 */
final class PlacementCheck {
  private PlacementCheck() {}

  /** Returns whether {@code job} can start at {@code placement} now. */
  static boolean isValid(Placement placement, Job job, Cluster cluster) {
    if (placement.hosts().size() != job.tasks()) {
      return false;
    }
    Set<String> racks = new HashSet<>();
    Map<String, Integer> tasksByHost = placement.tasksByHost();
    for (Map.Entry<String, Integer> entry : tasksByHost.entrySet()) {
      Optional<HostState> host = cluster.host(entry.getKey());
      boolean fits =
          host.filter(HostState::usable)
              .filter(
                  h ->
                      h.capacityFor(job, h.free()).covers(job.taskAmount().times(entry.getValue())))
              .isPresent();
      if (!fits) {
        return false;
      }
      racks.add(host.get().host().rack());
    }
    return switch (job.adjacency()) {
      case SAME_HOST -> tasksByHost.size() == 1;
      case SAME_RACK -> racks.size() == 1;
      case ANY -> true;
    };
  }
}
