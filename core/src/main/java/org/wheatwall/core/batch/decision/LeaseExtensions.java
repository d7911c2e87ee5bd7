package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.WorkerClock;

/**
 * Decides at which workers leases may be extended. Once a worker with runs has been silent for
 * {@link #STOP_AFTER_MS}, the decider extends no lease there and says so in the job log, so that
 * later deciders count the expiry of its leases from then on instead of from the start of their own
 * term. The record is dropped before a lease is extended there again.
 */
final class LeaseExtensions {
  /** For how long a worker is silent before no lease is extended there, milliseconds. */
  static final int STOP_AFTER_MS = 1000;

  private enum Stop {
    LOGGED,
    /** Its tombstone is not acknowledged yet. */
    BEING_DROPPED
  }

  private static final int SCAN_INTERVAL_MS = 250;
  // A few, since some of them may end or be cut off before a later decider reads the record.
  private static final int CLOCKS_PER_STOP = 3;

  private final TermState term;
  private final Map<String, Stop> stops = new HashMap<>();
  // Stops of earlier deciders by the workers whose clocks tell how long ago they were logged.
  private final Map<String, List<DatedStop>> stopsByClock = new HashMap<>();
  // Workers with a stop of an earlier decider that has not been dropped since.
  private final Set<String> inherited = new HashSet<>();
  private long lastScanAtMs = Long.MIN_VALUE / 2;

  /** A stop that was logged when another worker's clock showed at most {@code clockMs}. */
  private record DatedStop(String worker, long ageMs, long clockMs) {}

  LeaseExtensions(TermState term) {
    this.term = term;
  }

  /** Takes over the stops of earlier deciders, after their runs. */
  void adopt(LeaseStops logged) {
    for (String worker : logged.workers()) {
      stops.put(worker, Stop.LOGGED);
      if (term.runs.isWorkerInUse(worker)) {
        inherited.add(worker);
        term.workers.stopLeases(worker);
        logged
            .noLeaseSinceMs(worker)
            .ifPresent(sinceMs -> term.workers.getOrCreate(worker).limitLastLease(sinceMs));
        logged.stop(worker).ifPresent(stop -> indexClocks(worker, stop));
      }
    }
  }

  private void indexClocks(String worker, LogContent.LeaseStop stop) {
    for (WorkerClock clock : stop.clocks()) {
      stopsByClock
          .computeIfAbsent(clock.worker(), name -> new ArrayList<>())
          .add(new DatedStop(worker, stop.ageMs(), clock.clockMs()));
    }
  }

  /** Records the clock of a worker in a report that was received now. */
  void onClockRead(String worker, long clockMs) {
    List<DatedStop> dated = stopsByClock.remove(worker);
    if (dated == null) {
      return;
    }
    for (DatedStop stop : dated) {
      if (inherited.contains(stop.worker())) {
        long elapsedMs = term.settings.leastElapsedMs(clockMs - stop.clockMs()) + stop.ageMs();
        term.workers.getOrCreate(stop.worker()).limitLastLease(term.nowMs - elapsedMs);
      }
    }
  }

  /** Returns whether leases may be extended at a worker. */
  boolean isAllowedAt(String worker) {
    return !stops.containsKey(worker);
  }

  /** Records a response of a worker. */
  void onResponse(String worker) {
    if (stops.get(worker) == Stop.LOGGED) {
      drop(worker, worker);
    }
  }

  /** Records that a later incarnation of a worker may have runs of an earlier one. */
  void onRestarted(String earlier, String later) {
    if (stops.containsKey(earlier)) {
      stops.put(later, Stop.BEING_DROPPED);
      term.workers.stopLeases(later);
      drop(earlier, later);
    }
  }

  /** Stops extensions at workers that are silent, and drops the stops that are not needed. */
  void tick() {
    if (term.nowMs - lastScanAtMs < SCAN_INTERVAL_MS) {
      return;
    }
    lastScanAtMs = term.nowMs;
    for (String worker : List.copyOf(stops.keySet())) {
      if (stops.get(worker) == Stop.LOGGED && !term.runs.isWorkerInUse(worker)) {
        drop(worker, worker);
      }
    }
    // Until then an earlier decider may extend leases.
    if (term.nowMs < term.workers.earlierCommandsUntilMs()) {
      return;
    }
    List<String> silent =
        term.runs.workers().stream()
            .filter(this::isAllowedAt)
            .filter(worker -> term.workers.isSilentFor(worker, STOP_AFTER_MS, term.nowMs))
            .toList();
    if (!silent.isEmpty()) {
      List<WorkerClock> clocks = clocksOfOtherWorkers();
      silent.forEach(worker -> stop(worker, clocks));
    }
  }

  // A worker that tells nothing of its lives has another identifier after each restart, so its
  // clock
  // does not begin anew.
  private List<WorkerClock> clocksOfOtherWorkers() {
    return term.workers.records().stream()
        .filter(record -> record.usable() && record.clockKnown())
        .filter(record -> record.silentSinceMs() == Long.MAX_VALUE)
        .sorted(Comparator.comparingLong(WorkerRecord::lastResponseMs).reversed())
        .limit(CLOCKS_PER_STOP)
        .map(record -> new WorkerClock(record.id(), highestClockMs(record)))
        .toList();
  }

  private long highestClockMs(WorkerRecord record) {
    return record.clockMs() + term.settings.mostElapsedMs(term.nowMs - record.clockRequestedAtMs());
  }

  private void stop(String worker, List<WorkerClock> clocks) {
    stops.put(worker, Stop.LOGGED);
    term.workers.stopLeases(worker);
    long ageMs = term.nowMs - term.workers.getOrCreate(worker).lastLeaseSentMs();
    term.pendingEntries.add(
        LogEntry.of(
            LogKey.leaseStop(worker), new LogContent.LeaseStop(Math.max(1, ageMs), clocks)));
    term.logEvent(
        RunEvent.Kind.LEASES_STOPPED,
        "",
        worker,
        "none was extended for " + ageMs + " ms, " + term.runs.onWorker(worker).size() + " runs");
  }

  private void drop(String worker, String allowed) {
    stops.put(worker, Stop.BEING_DROPPED);
    inherited.remove(worker);
    term.pendingEntries.add(LogEntry.tombstone(LogKey.leaseStop(worker)));
    term.flushThen(
        () -> {
          stops.remove(worker);
          stops.remove(allowed);
          term.workers.allowLeases(allowed);
          term.dirty = true;
          term.effects.requestReport(allowed);
        });
  }
}
