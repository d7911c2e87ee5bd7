package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Forecasts from the expected ends of running attempts when a job will fit. It counts whole tasks
 * on single hosts, as a placement does: a job that fits by the sum of what is free, but by no
 * placement, would otherwise be expected to start at once, forever, and hold back all others.
 */
final class CapacityForecast {
  private static final String WHOLE_ZONE = "";

  private final Job job;
  private final Cluster cluster;
  private final Map<String, Area> areas = new LinkedHashMap<>();
  private final Map<String, Area> areaByHost = new HashMap<>();

  /** Hosts among which a job may be placed: one, those of one rack, or all. */
  private static final class Area {
    private final Map<String, HostForecast> hosts = new HashMap<>();
    private int tasks;

    private void release(String name, ResourceAmount amount) {
      HostForecast host = hosts.get(name);
      int before = host.tasks();
      host.release(amount);
      tasks += host.tasks() - before;
    }
  }

  /** The expected end of an attempt; {@code number} orders equal times. */
  private record ExpectedEnd(double atMs, int number, RunningAttempt attempt)
      implements Comparable<ExpectedEnd> {
    @Override
    public int compareTo(ExpectedEnd other) {
      int order = Double.compare(atMs, other.atMs);
      return order != 0 ? order : Integer.compare(number, other.number);
    }
  }

  private CapacityForecast(Job job, Cluster cluster) {
    this.job = job;
    this.cluster = cluster;
  }

  /** Creates the forecast for a job on the hosts of a cluster. */
  static CapacityForecast of(Job job, Cluster cluster) {
    CapacityForecast forecast = new CapacityForecast(job, cluster);
    cluster.hosts().forEach(forecast::addHost);
    return forecast;
  }

  // A host that may not run the job neither counts as free nor is reserved for the job.
  private void addHost(HostState host) {
    if (host.capacityFor(job, host.host().capacity()).equals(ResourceAmount.ZERO)) {
      return;
    }
    String name =
        switch (job.adjacency()) {
          case SAME_HOST -> host.name();
          case SAME_RACK -> host.host().rack();
          case ANY -> WHOLE_ZONE;
        };
    Area area = areas.computeIfAbsent(name, key -> new Area());
    HostForecast forecast = new HostForecast(host, job);
    area.hosts.put(host.name(), forecast);
    area.tasks += forecast.tasks();
    areaByHost.put(host.name(), area);
  }

  /** Returns whether the job fits without the end of any attempt. */
  boolean fitsNow() {
    return firstFitting().isPresent();
  }

  private Optional<Area> firstFitting() {
    return areas.values().stream().filter(area -> area.tasks >= job.tasks()).findFirst();
  }

  /**
   * Returns the earliest window for the job; empty if it is not expected to fit, whatever ends. May
   * be called once.
   */
  Optional<BackfillWindow> earliest(Collection<RunningAttempt> running, long nowMs) {
    double startMs = nowMs;
    boolean fits = fitsNow();
    PriorityQueue<ExpectedEnd> ends = fits ? new PriorityQueue<>() : expectedEnds(running, nowMs);
    while (!fits && !ends.isEmpty()) {
      startMs = ends.peek().atMs();
      while (!ends.isEmpty() && ends.peek().atMs() == startMs) {
        fits |= fitsAfterEnd(ends.poll().attempt());
      }
    }
    double foundMs = startMs;
    return firstFitting()
        .map(area -> new BackfillWindow(area.hosts, foundMs, area.tasks - job.tasks()));
  }

  // A heap orders only the ends that are needed.
  private static PriorityQueue<ExpectedEnd> expectedEnds(
      Collection<RunningAttempt> running, long nowMs) {
    List<ExpectedEnd> ends = new ArrayList<>(running.size());
    for (RunningAttempt attempt : running) {
      if (attempt.hasExpectedEnd()) {
        ends.add(
            new ExpectedEnd(
                Math.max((double) nowMs, attempt.expectedEndMs()), ends.size(), attempt));
      }
    }
    return new PriorityQueue<>(ends);
  }

  // Returns whether the job fits into an area in which the attempt held resources.
  private boolean fitsAfterEnd(RunningAttempt attempt) {
    Placement held = cluster.placement(attempt.attemptId()).orElse(attempt.placement());
    boolean fits = false;
    for (Map.Entry<String, Integer> entry : held.tasksByHost().entrySet()) {
      Area area = areaByHost.get(entry.getKey());
      if (area != null) {
        area.release(entry.getKey(), attempt.job().taskAmount().times(entry.getValue()));
        fits |= area.tasks >= job.tasks();
      }
    }
    return fits;
  }
}
