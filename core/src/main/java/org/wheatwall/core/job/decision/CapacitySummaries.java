package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Creates {@link CapacitySummary} instances from worker hosts. */
public final class CapacitySummaries {
  private CapacitySummaries() {}

  /** Returns the summary of {@code hosts}. */
  public static CapacitySummary of(Collection<WorkerHost> hosts) {
    Map<String, Map<String, List<WorkerHost>>> racksByZone = new TreeMap<>();
    for (WorkerHost host : hosts) {
      racksByZone
          .computeIfAbsent(host.zone(), zone -> new TreeMap<>())
          .computeIfAbsent(host.rack(), rack -> new ArrayList<>())
          .add(host);
    }
    Map<String, Map<String, Integer>> zones = new TreeMap<>();
    racksByZone.forEach(
        (zone, racks) -> {
          Map<String, Integer> profiles = new TreeMap<>();
          racks.values().forEach(rack -> profiles.merge(profile(rack), 1, Integer::sum));
          zones.put(zone, profiles);
        });
    return new CapacitySummary(zones);
  }

  private static String profile(List<WorkerHost> rack) {
    List<ResourceAmount> amounts =
        new ArrayList<>(rack.stream().map(WorkerHost::capacity).toList());
    amounts.sort(
        Comparator.comparingInt(ResourceAmount::accelerators)
            .thenComparingInt(ResourceAmount::processors)
            .thenComparingInt(ResourceAmount::memoryMb)
            .reversed());
    List<String> texts = new ArrayList<>();
    for (ResourceAmount amount : amounts) {
      texts.add(amount.processors() + "/" + amount.memoryMb() + "/" + amount.accelerators());
    }
    return String.join(",", texts);
  }
}
