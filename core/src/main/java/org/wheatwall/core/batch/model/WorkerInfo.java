package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.Set;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A worker as the platform lists it.
 *
 * @param id name of this life of the worker, as {@link WorkerIncarnation#name} gives it
 * @param address where it takes orders, an IP number and a port
 * @param labels labels that steps may ask for
 * @param draining whether it takes no new work because it is about to leave
 */
public record WorkerInfo(
    String id,
    String address,
    String service,
    String zone,
    String rack,
    Set<String> labels,
    ResourceAmount capacity,
    boolean draining) {
  /** Copies the labels. */
  public WorkerInfo {
    Objects.requireNonNull(id);
    Objects.requireNonNull(address);
    Objects.requireNonNull(capacity);
    labels = Set.copyOf(labels);
  }

  /** Returns the life of the worker. */
  public WorkerIncarnation incarnation() {
    return WorkerIncarnation.parse(id);
  }

  /** Returns the same worker in another life, with all that it says of itself but its leaving. */
  public WorkerInfo withIncarnation(WorkerIncarnation other) {
    boolean leaves = draining && other.equals(incarnation());
    return new WorkerInfo(other.name(), address, service, zone, rack, labels, capacity, leaves);
  }
}
