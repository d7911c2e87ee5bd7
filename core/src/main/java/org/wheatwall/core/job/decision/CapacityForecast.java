package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Forecasts from the expected ends of running attempts when enough capacity for a job will be free.
 * Examines each running task once, whatever the number of racks.
 */
final class CapacityForecast {
  private static final String WHOLE_ZONE = "";

  private final Job job;
  private final Cluster cluster;
  private final boolean byRack;
  private final long nowMs;
  private final Map<String, Area> areas = new LinkedHashMap<>();
  private final Map<String, Area> areaByHost = new HashMap<>();

  /** Hosts among which a job may be placed: those of one rack, or all. */
  private static final class Area {
    private final List<Release> releases = new ArrayList<>();
    private int free;
  }

  /** Accelerators that an attempt is expected to release; {@code number} orders equal times. */
  private record Release(double atMs, int number, int accelerators) {
    private static final Comparator<Release> ORDER =
        (one, other) -> {
          int order = Double.compare(one.atMs, other.atMs);
          return order != 0 ? order : Integer.compare(one.number, other.number);
        };
  }

  private CapacityForecast(Job job, Cluster cluster, long nowMs) {
    this.job = job;
    this.cluster = cluster;
    this.byRack = job.adjacency() != Adjacency.ANY;
    this.nowMs = nowMs;
  }

  /** Returns the earliest window for {@code job}, empty if no area will have enough capacity. */
  static Optional<BackfillWindow> earliest(
      Job job, Cluster cluster, Collection<RunningAttempt> running, long nowMs) {
    CapacityForecast forecast = new CapacityForecast(job, cluster, nowMs);
    cluster.hosts().forEach(forecast::addHost);
    if (!forecast.isFirstAreaFree()) {
      running.forEach(forecast::addAttempt);
    }
    return forecast.earliest();
  }

  // No other window starts earlier, and of equal ones the first counts, so that the running
  // attempts need not be examined.
  private boolean isFirstAreaFree() {
    return areas.values().stream()
        .findFirst()
        .filter(area -> area.free >= job.totalAccelerators())
        .isPresent();
  }

  // A host that may not run the job neither counts as free nor is reserved for the job.
  private void addHost(HostState host) {
    if (host.capacityFor(job, host.host().capacity()).equals(ResourceAmount.ZERO)) {
      return;
    }
    String name = byRack ? host.host().rack() : WHOLE_ZONE;
    Area area = areas.computeIfAbsent(name, key -> new Area());
    areaByHost.put(host.name(), area);
    area.free += host.free().accelerators();
  }

  private void addAttempt(RunningAttempt attempt) {
    Placement held = cluster.placement(attempt.attemptId()).orElse(attempt.placement());
    if (held.hosts().size() == 1) {
      addRelease(areaByHost.get(held.hosts().get(0)), attempt, 1);
      return;
    }
    Map<Area, Integer> tasks = new HashMap<>();
    for (String name : held.hosts()) {
      Area area = areaByHost.get(name);
      if (area != null) {
        tasks.merge(area, 1, Integer::sum);
      }
    }
    tasks.forEach((area, count) -> addRelease(area, attempt, count));
  }

  private static void addRelease(Area area, RunningAttempt attempt, int tasks) {
    if (area != null) {
      int accelerators = tasks * attempt.job().taskAmount().accelerators();
      area.releases.add(new Release(attempt.expectedEndMs(), area.releases.size(), accelerators));
    }
  }

  private Optional<BackfillWindow> earliest() {
    Start best = null;
    for (Area area : areas.values()) {
      Optional<Start> start = start(area);
      if (start.isPresent() && (best == null || start.get().atMs() < best.atMs())) {
        best = start.get();
      }
    }
    return best == null
        ? Optional.empty()
        : Optional.of(new BackfillWindow(hostsOf(best.area()), best.atMs(), best.spare()));
  }

  /** When the job is expected to fit into an area, and the accelerators left over then. */
  private record Start(Area area, double atMs, int spare) {}

  // A heap orders only the releases that are needed.
  private Optional<Start> start(Area area) {
    int need = job.totalAccelerators();
    int free = area.free;
    double startMs = nowMs;
    if (free < need) {
      PriorityQueue<Release> releases = new PriorityQueue<>(Release.ORDER);
      releases.addAll(area.releases);
      while (free < need && !releases.isEmpty()) {
        Release release = releases.poll();
        free += release.accelerators();
        startMs = Math.max(startMs, release.atMs());
      }
    }
    return free >= need ? Optional.of(new Start(area, startMs, free - need)) : Optional.empty();
  }

  private Set<String> hostsOf(Area area) {
    if (!byRack) {
      return areaByHost.keySet();
    }
    Set<String> hosts = new HashSet<>();
    areaByHost.forEach(
        (host, other) -> {
          if (other == area) {
            hosts.add(host);
          }
        });
    return hosts;
  }
}
