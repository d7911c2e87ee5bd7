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

  /** Hosts among which a job may be placed: those of one rack, or all. */
  private static final class Area {
    private final Set<String> hosts = new HashSet<>();
    private final List<Release> releases = new ArrayList<>();
    private int free;
  }

  /** Accelerators that an attempt is expected to release. */
  private record Release(double atMs, int accelerators) {}

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
    Optional<BackfillWindow> now = forecast.windowOfFirstAreaNow();
    if (now.isPresent()) {
      return now;
    }
    running.forEach(forecast::addAttempt);
    return forecast.areas.values().stream()
        .flatMap(area -> forecast.window(area).stream())
        .min(Comparator.comparingDouble(BackfillWindow::startMs));
  }

  // No other window starts earlier, and of equal ones the first counts, so that the running
  // attempts need not be examined.
  private Optional<BackfillWindow> windowOfFirstAreaNow() {
    return areas.values().stream()
        .findFirst()
        .filter(area -> area.free >= job.totalAccelerators())
        .flatMap(this::window);
  }

  // A host that may not run the job neither counts as free nor is reserved for the job.
  private void addHost(HostState host) {
    if (host.capacityFor(job, host.host().capacity()).equals(ResourceAmount.ZERO)) {
      return;
    }
    Area area = areas.computeIfAbsent(areaNameOf(host), name -> new Area());
    area.hosts.add(host.name());
    area.free += host.free().accelerators();
  }

  private void addAttempt(RunningAttempt attempt) {
    Map<Area, Integer> tasks = new HashMap<>();
    Placement held = cluster.placement(attempt.attemptId()).orElse(attempt.placement());
    for (String name : held.hosts()) {
      cluster
          .host(name)
          .map(host -> areas.get(areaNameOf(host)))
          .filter(area -> area.hosts.contains(name))
          .ifPresent(area -> tasks.merge(area, 1, Integer::sum));
    }
    int each = attempt.job().taskAmount().accelerators();
    tasks.forEach(
        (area, count) -> area.releases.add(new Release(attempt.expectedEndMs(), count * each)));
  }

  private String areaNameOf(HostState host) {
    return byRack ? host.host().rack() : WHOLE_ZONE;
  }

  private Optional<BackfillWindow> window(Area area) {
    int need = job.totalAccelerators();
    int free = area.free;
    double startMs = nowMs;
    area.releases.sort(Comparator.comparingDouble(Release::atMs));
    for (Release release : area.releases) {
      if (free >= need) {
        break;
      }
      free += release.accelerators();
      startMs = Math.max(startMs, release.atMs());
    }
    return free >= need
        ? Optional.of(new BackfillWindow(area.hosts, startMs, free - need))
        : Optional.empty();
  }
}
