package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * The hosts on which the first waiting job is expected to start, and when (EASY backfill, Lifka
 * 1995). Other work may use them only if it is expected to end before.
 *
 * @param hosts hosts kept for the job
 * @param startMs when enough of them is expected to be free
 */
record BackfillWindow(Set<String> hosts, double startMs) {
  /** Returns the earliest window for {@code job}, judged by expected ends of running work. */
  static Optional<BackfillWindow> forJob(
      Job job, Cluster cluster, Collection<RunningAttempt> running, long nowMs) {
    if (job.adjacency() == Adjacency.ANY) {
      return earliest(job, cluster.hosts(), running, nowMs);
    }
    BackfillWindow best = null;
    for (RackState rack : cluster.racks()) {
      Optional<BackfillWindow> window = earliest(job, rack.hosts(), running, nowMs);
      if (window.isPresent() && (best == null || window.get().startMs() < best.startMs())) {
        best = window.get();
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether starting at {@code place} now is expected to delay the job. */
  boolean isDelayedBy(Placement place, double expectedSeconds, long nowMs) {
    if (nowMs + expectedSeconds * 1000 <= startMs) {
      return false;
    }
    return place.hosts().stream().anyMatch(hosts::contains);
  }

  private static Optional<BackfillWindow> earliest(
      Job job, Collection<HostState> among, Collection<RunningAttempt> running, long nowMs) {
    Set<String> names = new HashSet<>();
    int free = 0;
    for (HostState host : among) {
      names.add(host.name());
      free += host.free().accelerators();
    }
    List<RunningAttempt> byEnd = new ArrayList<>();
    for (RunningAttempt attempt : running) {
      if (attempt.placement().hosts().stream().anyMatch(names::contains)) {
        byEnd.add(attempt);
      }
    }
    byEnd.sort(Comparator.comparingDouble(RunningAttempt::expectedEndMs));
    double startMs = (double) nowMs;
    for (RunningAttempt attempt : byEnd) {
      if (free >= job.totalAccelerators()) {
        break;
      }
      long here = attempt.placement().hosts().stream().filter(names::contains).count();
      free += (int) here * attempt.job().taskAmount().accelerators();
      startMs = Math.max((double) nowMs, attempt.expectedEndMs());
    }
    return free >= job.totalAccelerators()
        ? Optional.of(new BackfillWindow(names, startMs))
        : Optional.empty();
  }
}
