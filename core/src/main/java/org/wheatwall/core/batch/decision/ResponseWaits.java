package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs of suspect groups that wait, before they are logged, until each of their workers has
 * responded. A start sent to a worker that has crashed unnoticed counts as lost, as it may have
 * caused the crash, so that a few such starts would fail a job that crashes nothing.
 */
final class ResponseWaits {
  // A worker that responded this recently need not be asked again.
  private static final int MAX_RESPONSE_AGE_MS = 50;
  // A worker that has confirmed a task always has a pending call, which fails as soon as the worker
  // crashes; it responds at least this often.
  private static final int MAX_RESPONSE_AGE_IN_USE_MS = 1500;

  private final TermState term;
  // Since when the responses count, milliseconds.
  private final Map<GroupRun, Long> waiting = new LinkedHashMap<>();

  ResponseWaits(TermState term) {
    this.term = term;
  }

  /** Returns a worker of a run that did not respond to the latest call, if there is one. */
  Optional<String> findSilentWorker(GroupRun run) {
    return run.workers().stream()
        .filter(worker -> term.workers.getOrCreate(worker).silentSinceMs() != Long.MAX_VALUE)
        .findFirst();
  }

  /** Returns whether a run must wait for responses of its workers; requests them if so. */
  boolean mustWait(GroupRun run) {
    if (!waiting.containsKey(run)) {
      begin(run);
    }
    boolean responded = findAwaited(run).isEmpty();
    if (responded) {
      waiting.remove(run);
    }
    return !responded;
  }

  /**
   * Begins to count the responses of a run's workers, and requests those that are missing. From its
   * decision on, a run has a pending call to each of them.
   */
  void begin(GroupRun run) {
    waiting.keySet().removeIf(other -> !isCurrent(other));
    waiting.put(run, term.nowMs - MAX_RESPONSE_AGE_MS);
    List<String> awaited = findAwaited(run);
    if (!awaited.isEmpty()) {
      awaited.forEach(term.effects::requestReport);
      term.logEvent(
          RunEvent.Kind.RUN_AWAITS_RESPONSES,
          run.group().jobId(),
          run.group().text(),
          String.join(",", awaited) + "; " + LostRuns.describeCounts(run.state()));
    }
  }

  private List<String> findAwaited(GroupRun run) {
    long sinceMs = waiting.get(run);
    return run.workers().stream()
        .distinct()
        .filter(worker -> !hasResponded(run, worker, sinceMs))
        .toList();
  }

  private boolean hasResponded(GroupRun run, String worker, long sinceMs) {
    boolean inUse =
        term.runs.onWorker(worker).stream()
            .anyMatch(other -> other != run && other.hasConfirmedTaskOn(worker));
    long requiredMs = inUse ? sinceMs - MAX_RESPONSE_AGE_IN_USE_MS : sinceMs;
    return term.workers.getOrCreate(worker).lastResponseMs() >= requiredMs;
  }

  /** Returns the runs that wait and have a task planned on a worker. */
  List<GroupRun> runsOn(String worker) {
    return waiting.keySet().stream()
        .filter(run -> isWaiting(run) && run.workers().contains(worker))
        .toList();
  }

  /** Returns whether a run still waits, and for nothing but responses. */
  boolean isWaiting(GroupRun run) {
    return waiting.containsKey(run) && isCurrent(run) && !run.waitsForVictims();
  }

  private boolean isCurrent(GroupRun run) {
    boolean current = term.runs.ofGroup(run.group()).orElse(null) == run;
    return current && !run.stopping() && !run.launched();
  }
}
