package org.wheatwall.core.job.model;

import java.util.Objects;
import org.wheatwall.core.common.Names;

/** A worker host and its whole capacity. */
public record WorkerHost(String name, String zone, String rack, ResourceAmount capacity) {
  /** Validates the names. */
  public WorkerHost {
    Names.require("host", name);
    Names.require("zone", zone);
    Names.require("rack", rack);
    Objects.requireNonNull(capacity);
  }

  /** Returns whether another description is of the same host in the same zone and rack. */
  public boolean isSameLocation(WorkerHost other) {
    return name.equals(other.name) && zone.equals(other.zone) && rack.equals(other.rack);
  }
}
