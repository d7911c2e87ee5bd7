package org.wheatwall.entry.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wheatwall.standin.worker.TaskEvent;

/** Finds violations of the gang invariants in the ledgers of all workers. */
final class GangLedgerCheck {
  private final List<TaskEvent> events;

  GangLedgerCheck(List<TaskEvent> ledger) {
    events = new ArrayList<>(ledger);
    // Sorts starts after stops of the same millisecond.
    events.sort(
        Comparator.comparingLong(TaskEvent::atMs)
            .thenComparing(TaskEvent::event, Comparator.reverseOrder()));
  }

  /** Returns descriptions of the times at which two attempts of one job ran. */
  List<String> overlappingAttempts() {
    List<String> found = new ArrayList<>();
    Map<String, Map<String, Integer>> runningByJob = new TreeMap<>();
    for (TaskEvent event : events) {
      Map<String, Integer> running =
          runningByJob.computeIfAbsent(event.jobName(), job -> new TreeMap<>());
      running.merge(event.attemptId(), event.event().equals("start") ? 1 : -1, Integer::sum);
      running.values().removeIf(count -> count == 0);
      if (running.size() > 1) {
        found.add(event.atMs() + " " + event.jobName() + " " + running.keySet());
      }
    }
    return found;
  }

  /**
   * Returns the jobs that succeeded on all their workers in more than one attempt. Excludes
   * attempts with a part on one of {@code unreliableWorkers}, since the result may be lost with the
   * worker.
   */
  List<String> repeatedSuccesses(Set<String> unreliableWorkers) {
    Map<String, Integer> succeededParts = new TreeMap<>();
    Set<String> attemptsOnUnreliableWorkers = new HashSet<>();
    Map<String, Set<String>> succeeded = new TreeMap<>();
    for (TaskEvent event : events) {
      if (unreliableWorkers.contains(event.host())) {
        attemptsOnUnreliableWorkers.add(event.attemptId());
      }
      if (event.reason().equals("succeeded")
          && succeededParts.merge(event.attemptId(), 1, Integer::sum) == event.gangHosts()) {
        succeeded.computeIfAbsent(event.jobName(), job -> new TreeSet<>()).add(event.attemptId());
      }
    }
    List<String> found = new ArrayList<>();
    succeeded.forEach(
        (job, attempts) -> {
          attempts.removeAll(attemptsOnUnreliableWorkers);
          if (attempts.size() > 1) {
            found.add(job + " " + attempts);
          }
        });
    return found;
  }

  /**
   * Returns the longest time, in milliseconds, that a part of an attempt ran while another part
   * neither ran nor had succeeded.
   */
  long longestPartialRunMs() {
    long longest = 0;
    Map<String, Integer> running = new TreeMap<>();
    Map<String, Integer> succeeded = new TreeMap<>();
    Map<String, Long> partialSince = new TreeMap<>();
    for (TaskEvent event : events) {
      String id = event.attemptId();
      int runningParts = running.merge(id, event.event().equals("start") ? 1 : -1, Integer::sum);
      if (event.reason().equals("succeeded")) {
        succeeded.merge(id, 1, Integer::sum);
      }
      boolean complete = runningParts + succeeded.getOrDefault(id, 0) >= event.gangHosts();
      boolean partial = runningParts > 0 && !complete;
      Long since = partialSince.get(id);
      if (since != null) {
        longest = Math.max(longest, event.atMs() - since);
      }
      if (partial && since == null) {
        partialSince.put(id, event.atMs());
      } else if (!partial) {
        partialSince.remove(id);
      }
    }
    return longest;
  }
}
