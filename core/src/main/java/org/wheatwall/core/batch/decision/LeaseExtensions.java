package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.WorkerClock;

/**
 * Decides at which workers leases may be extended. If a worker with runs is silent, the decider
 * extends no lease there and says so in the job log, so that later deciders count the expiry of its
 * leases from then on instead of from the start of their own term. The record is dropped before a
 * lease is extended there again.
 */
final class LeaseExtensions {
  /** For how long a worker is silent before no lease is extended there, milliseconds. */
  static final int STOP_AFTER_MS = 2000;

  /**
   * The same for a worker that has not responded in this term, milliseconds. No lease is extended
   * there before its first response anyway.
   */
  static final int FIRST_STOP_AFTER_MS = 1000;

  private static final int SCAN_INTERVAL_MS = 250;
  // Keeps an append well below the largest that the log takes.
  private static final int MAX_STOPS_PER_SCAN = 2000;
  // A few, since some of them may end or be cut off before a later decider reads the record.
  private static final int CLOCKS_PER_STOP = 3;

  private final TermState term;
  // Workers with a record in the log.
  private final Set<String> stopped = new HashSet<>();
  // Number of tombstones that have to be acknowledged before leases are extended at a worker.
  private final Map<String, Integer> openDrops = new HashMap<>();
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
    List<String> useless = new ArrayList<>();
    for (String worker : logged.workers()) {
      Optional<LogContent.LeaseStop> stop = logged.stop(worker);
      if (stop.isEmpty() || !term.runs.isWorkerInUse(worker)) {
        useless.add(worker);
        continue;
      }
      stopped.add(worker);
      inherited.add(worker);
      term.workers.stopLeases(worker);
      term.workers.limitLastLease(worker, logged.noLeaseSinceMs(worker).getAsLong());
      indexClocks(worker, stop.get());
    }
    drop(useless);
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
        term.workers.limitLastLease(stop.worker(), term.nowMs - elapsedMs);
      }
    }
  }

  /** Returns whether leases may be extended at a worker. */
  boolean isAllowedAt(String worker) {
    return !stopped.contains(worker) && !openDrops.containsKey(worker);
  }

  /** Records a response of a worker. */
  void onResponse(String worker) {
    if (stopped.contains(worker)) {
      drop(List.of(worker));
    }
  }

  /** Records that a later incarnation of a worker may have runs of an earlier one. */
  void onRestarted(String earlier, String later) {
    if (!isAllowedAt(earlier)) {
      term.workers.stopLeases(later);
      drop(List.of(earlier, later));
    }
  }

  /** Stops extensions at workers that are silent, and drops the stops that are not needed. */
  void tick() {
    if (term.nowMs - lastScanAtMs < SCAN_INTERVAL_MS) {
      return;
    }
    lastScanAtMs = term.nowMs;
    drop(stopped.stream().filter(worker -> !term.runs.isWorkerInUse(worker)).toList());
    // Until then an earlier decider may extend leases.
    if (term.nowMs >= term.workers.earlierCommandsUntilMs()) {
      stopAll(
          term.runs.workers().stream()
              .filter(this::isAllowedAt)
              .filter(worker -> term.workers.isSilent(worker, term.nowMs))
              .limit(MAX_STOPS_PER_SCAN)
              .toList());
    }
  }

  private void stopAll(List<String> silent) {
    if (silent.isEmpty()) {
      return;
    }
    // A lease may have been sent after the start of this tick, if the process was frozen since.
    long asOfMs =
        silent.stream()
            .mapToLong(worker -> term.workers.getOrCreate(worker).lastLeaseSentMs())
            .reduce(term.nowMs, Math::max);
    List<WorkerClock> clocks = clocksOfOtherWorkers(asOfMs);
    silent.forEach(worker -> stop(worker, clocks));
  }

  // A worker whose start time is not known has another identifier after each restart, so its
  // clock does not begin anew under that name.
  private List<WorkerClock> clocksOfOtherWorkers(long asOfMs) {
    return term.workers.records().stream()
        .filter(record -> record.usable() && record.clockKnown())
        .filter(record -> record.silentSinceMs() == Long.MAX_VALUE)
        .sorted(Comparator.comparingLong(WorkerRecord::lastResponseMs).reversed())
        .limit(CLOCKS_PER_STOP)
        .map(record -> new WorkerClock(record.id(), highestClockMs(record, asOfMs)))
        .toList();
  }

  private long highestClockMs(WorkerRecord record, long asOfMs) {
    return record.clockMs() + term.settings.mostElapsedMs(asOfMs - record.clockRequestedAtMs());
  }

  private void stop(String worker, List<WorkerClock> clocks) {
    stopped.add(worker);
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

  private void drop(List<String> workers) {
    if (workers.isEmpty()) {
      return;
    }
    for (String worker : workers) {
      stopped.remove(worker);
      inherited.remove(worker);
      openDrops.merge(worker, 1, Integer::sum);
      term.workers.removeLastLeaseLimit(worker);
      term.pendingEntries.add(LogEntry.tombstone(LogKey.leaseStop(worker)));
    }
    term.flushThen(() -> workers.forEach(this::onDropped));
  }

  private void onDropped(String worker) {
    if (openDrops.merge(worker, -1, (open, less) -> open + less == 0 ? null : open + less) == null
        && !stopped.contains(worker)) {
      term.workers.allowLeases(worker);
      term.dirty = true;
      term.effects.requestReport(worker);
    }
  }
}
