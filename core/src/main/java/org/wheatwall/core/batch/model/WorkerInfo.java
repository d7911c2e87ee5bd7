package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.Set;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A worker as the platform lists it.
 *
 * @param id identifier of this life of the worker; a restart has another
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
}
