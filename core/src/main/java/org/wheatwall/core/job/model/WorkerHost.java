package org.wheatwall.core.job.model;

import java.util.Objects;
import org.wheatwall.core.common.Names;

/** A worker host, where it is located, and its total capacity. */
public record WorkerHost(String name, String zone, String rack, ResourceAmount capacity) {
  /** Validates the names. */
  public WorkerHost {
    Names.require("host", name);
    Names.require("zone", zone);
    Names.require("rack", rack);
    Objects.requireNonNull(capacity);
  }

  /** Returns whether {@code other} has the same name, zone and rack. */
  public boolean isSameLocation(WorkerHost other) {
    return name.equals(other.name) && zone.equals(other.zone) && rack.equals(other.rack);
  }
}
