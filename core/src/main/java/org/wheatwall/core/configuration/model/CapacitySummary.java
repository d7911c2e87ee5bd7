package org.wheatwall.core.configuration.model;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.wheatwall.core.common.Refusal;

/**
 * Summary of the worker hosts of each availability zone, as known to the proposer of a change. It
 * is part of the change so that every replica reaches the same verdict on guarantees, whatever its
 * own host list, which may be out of date, contains.
 *
 * @param zones rack profiles by zone name; a profile lists the capacity of each host of a rack as
 *     {@code processors/memoryMb/accelerators}, separated by commas, and maps to the number of
 *     racks with this profile
 */
public record CapacitySummary(Map<String, Map<String, Integer>> zones) {
  /** Sorts the zones so that equal summaries have equal serialized forms. */
  public CapacitySummary {
    if (zones == null) {
      throw Refusal.invalid("capacity has no zones", "give a map of zones, possibly empty");
    }
    zones = Collections.unmodifiableMap(new TreeMap<>(zones));
  }
}
