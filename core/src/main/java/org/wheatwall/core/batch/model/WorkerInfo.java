package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A worker, as listed by the platform.
 *
 * @param id name of this incarnation of the worker, see {@link WorkerIncarnation#name}
 * @param address IP address and port at which it accepts commands
 * @param labels labels that steps may require
 * @param draining whether it takes no new work because it is about to shut down
 * @param remainingMs how long it stays at least when it reports this, milliseconds; empty if it
 *     does not drain or does not say so
 */
public record WorkerInfo(
    String id,
    String address,
    String service,
    String zone,
    String rack,
    Set<String> labels,
    ResourceAmount capacity,
    boolean draining,
    OptionalInt remainingMs) {
  /** Copies the labels. */
  public WorkerInfo {
    Objects.requireNonNull(id);
    Objects.requireNonNull(address);
    Objects.requireNonNull(capacity);
    Objects.requireNonNull(remainingMs);
    labels = Set.copyOf(labels);
  }

  /** Creates a worker that does not report how long it stays. */
  public WorkerInfo(
      String id,
      String address,
      String service,
      String zone,
      String rack,
      Set<String> labels,
      ResourceAmount capacity,
      boolean draining) {
    this(id, address, service, zone, rack, labels, capacity, draining, OptionalInt.empty());
  }

  /** Returns the incarnation of the worker. */
  public WorkerIncarnation incarnation() {
    return WorkerIncarnation.parse(id);
  }

  /**
   * Returns whether the worker offers the same capacity and labels in the same rack to a service.
   */
  public boolean hasSameRoom(WorkerInfo other) {
    return service.equals(other.service)
        && rack.equals(other.rack)
        && labels.equals(other.labels)
        && capacity.equals(other.capacity);
  }

  /**
   * Returns the same worker in another incarnation, which is not draining unless it is the same.
   */
  public WorkerInfo withIncarnation(WorkerIncarnation other) {
    boolean stillDraining = draining && other.equals(incarnation());
    return new WorkerInfo(
        other.name(),
        address,
        service,
        zone,
        rack,
        labels,
        capacity,
        stillDraining,
        stillDraining ? remainingMs : OptionalInt.empty());
  }
}
