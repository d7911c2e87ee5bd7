package org.wheatwall.core.job.decision;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * The hosts on which the first blocked job is expected to start, and when (EASY backfill, Lifka
 * 1995). Other jobs may use them if they are expected to end before that time, or leave room for
 * all tasks of the blocked job.
 *
 * <p>Not thread-safe; belongs to one pass of the scheduler.
 */
final class BackfillWindow {
  private static final int MS_PER_SECOND = 1000;

  private final Map<String, HostForecast> hosts;
  private final double startMs;
  private int spareTasks;

  /**
   * Creates a window.
   *
   * @param hosts hosts among which the blocked job is expected to start, as they will be then
   * @param startMs when it is expected to start, milliseconds
   * @param spareTasks how many more of its tasks fit at that time
   */
  BackfillWindow(Map<String, HostForecast> hosts, double startMs, int spareTasks) {
    this.hosts = hosts;
    this.startMs = startMs;
    this.spareTasks = spareTasks;
  }

  /** Returns the names of the hosts among which the blocked job is expected to start. */
  Set<String> hosts() {
    return Collections.unmodifiableSet(hosts.keySet());
  }

  /** Returns when the blocked job is expected to start, milliseconds. */
  double startMs() {
    return startMs;
  }

  /** Returns how many more tasks of the blocked job fit at its start than it needs. */
  int spareTasks() {
    return spareTasks;
  }

  /** Returns the names of the hosts on which tasks of the blocked job are expected to fit. */
  Set<String> reservedHosts() {
    return hosts.entrySet().stream()
        .filter(entry -> entry.getValue().tasks() > 0)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns whether starting {@code job} now is expected to delay the blocked job. */
  boolean isDelayedBy(Job job, Placement placement, double expectedSeconds, long nowMs) {
    return overlaps(job, expectedSeconds, nowMs) && tasksLostTo(job, placement) > spareTasks;
  }

  private int tasksLostTo(Job job, Placement placement) {
    int lost = 0;
    for (Map.Entry<String, Integer> entry : placement.tasksByHost().entrySet()) {
      HostForecast host = hosts.get(entry.getKey());
      ResourceAmount amount = job.taskAmount().times(entry.getValue());
      lost += host == null ? 0 : host.tasksLostTo(amount);
    }
    return lost;
  }

  /** Records that {@code job} has started at {@code placement}. */
  void recordStart(Job job, Placement placement, double expectedSeconds, long nowMs) {
    if (!overlaps(job, expectedSeconds, nowMs)) {
      return;
    }
    spareTasks -= tasksLostTo(job, placement);
    placement
        .tasksByHost()
        .forEach(
            (name, count) -> {
              HostForecast host = hosts.get(name);
              if (host != null) {
                host.hold(job.taskAmount().times(count));
              }
            });
  }

  private boolean overlaps(Job job, double expectedSeconds, long nowMs) {
    return job.options().longRunning() || nowMs + expectedSeconds * MS_PER_SECOND > startMs;
  }
}
