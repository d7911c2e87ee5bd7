package org.wheatwall.core.configuration.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.wheatwall.core.common.Refusal;

/**
 * The worker hosts of each availability zone as the proposer of a change saw them, in brief. It
 * travels inside the change so that every replica reaches the same verdict on guarantees, whatever
 * its own, lagging, list of hosts shows.
 *
 * @param zones zone name to rack profiles; a profile lists the capacity of each host of a rack as
 *     {@code processors/memoryMb/accelerators}, separated by commas, with the number of racks alike
 */
public record CapacitySummary(Map<String, Map<String, Integer>> zones) {
  /** Sorts the zones so that equal summaries are written equally. */
  public CapacitySummary {
    if (zones == null) {
      throw Refusal.invalid("capacity has no zones", "give a map of zones, possibly empty");
    }
    zones = Collections.unmodifiableMap(new TreeMap<>(zones));
  }
}
