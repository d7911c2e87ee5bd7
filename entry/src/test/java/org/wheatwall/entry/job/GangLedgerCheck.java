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

/** Reads the ledgers of all workers and reports what must never happen. */
final class GangLedgerCheck {
  private final List<TaskEvent> events;

  GangLedgerCheck(List<TaskEvent> ledger) {
    events = new ArrayList<>(ledger);
    // Starts sort after stops of the same millisecond.
    events.sort(
        Comparator.comparingLong(TaskEvent::atMs)
            .thenComparing(TaskEvent::event, Comparator.reverseOrder()));
  }

  /** Returns descriptions of moments at which two attempts of one job ran. */
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
   * Returns the jobs that succeeded on all their workers in more than one attempt. Attempts with a
   * part on a worker that crashed are left out: with the worker, its result may be gone.
   */
  List<String> repeatedSuccesses(Set<String> lostSightOf) {
    Map<String, Integer> endedWell = new TreeMap<>();
    Set<String> mayBeLost = new HashSet<>();
    Map<String, Set<String>> succeeded = new TreeMap<>();
    for (TaskEvent event : events) {
      if (lostSightOf.contains(event.host())) {
        mayBeLost.add(event.attemptId());
      }
      if (event.reason().equals("succeeded")
          && endedWell.merge(event.attemptId(), 1, Integer::sum) == event.gangHosts()) {
        succeeded.computeIfAbsent(event.jobName(), job -> new TreeSet<>()).add(event.attemptId());
      }
    }
    List<String> found = new ArrayList<>();
    succeeded.forEach(
        (job, attempts) -> {
          attempts.removeAll(mayBeLost);
          if (attempts.size() > 1) {
            found.add(job + " " + attempts);
          }
        });
    return found;
  }

  /**
   * Returns the longest time, milliseconds, that a part of an attempt ran while another part did
   * not run and had not ended well.
   */
  long longestPartialRunMs() {
    long longest = 0;
    Map<String, Integer> running = new TreeMap<>();
    Map<String, Integer> succeeded = new TreeMap<>();
    Map<String, Long> aloneSince = new TreeMap<>();
    for (TaskEvent event : events) {
      String id = event.attemptId();
      int now = running.merge(id, event.event().equals("start") ? 1 : -1, Integer::sum);
      if (event.reason().equals("succeeded")) {
        succeeded.merge(id, 1, Integer::sum);
      }
      boolean whole = now + succeeded.getOrDefault(id, 0) >= event.gangHosts();
      boolean alone = now > 0 && !whole;
      Long since = aloneSince.get(id);
      if (since != null) {
        longest = Math.max(longest, event.atMs() - since);
      }
      if (alone && since == null) {
        aloneSince.put(id, event.atMs());
      } else if (!alone) {
        aloneSince.remove(id);
      }
    }
    return longest;
  }
}
