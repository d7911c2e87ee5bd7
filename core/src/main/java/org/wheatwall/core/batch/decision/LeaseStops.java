package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wheatwall.core.batch.model.LogContent;

/**
 * The workers at which deciders have promised in the job log to extend no lease, and since when
 * none was extended there, on this process's own monotonic clock. That time is never later than
 * this process read the promise, so it needs no clock of another host.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class LeaseStops {
  private final Map<String, Known> byWorker = new HashMap<>();
  private long validFrom;

  private record Known(long offset, long noLeaseSinceMs, LogContent.LeaseStop stop) {}

  /** Applies the record of a stop that was read at {@code offset}. */
  public void add(String worker, LogContent.LeaseStop stop, long offset, long nowMs) {
    Known known = byWorker.get(worker);
    if (known == null || known.offset() != offset) {
      byWorker.put(worker, new Known(offset, nowMs - stop.ageMs(), stop));
    }
  }

  /** Applies the tombstone of a stop. */
  public void remove(String worker) {
    byWorker.remove(worker);
  }

  /** Applies the record of a term that was read at {@code offset}. */
  public void onTerm(LogContent.Term term, long offset) {
    validFrom = Math.max(validFrom, term.leaseStopsFrom().orElse(offset));
  }

  /** Returns the offset from which stops count, for the records of this host's term. */
  public long validFrom() {
    return validFrom;
  }

  /** Forgets all workers but these. */
  public void retainAll(Set<String> workers) {
    byWorker.keySet().retainAll(workers);
  }

  /** Returns the workers that have a record, whether it counts or not. */
  Set<String> workers() {
    return Set.copyOf(byWorker.keySet());
  }

  /**
   * Returns since when no lease was extended at a worker, milliseconds; empty if nothing is known.
   */
  OptionalLong noLeaseSinceMs(String worker) {
    return find(worker).stream().mapToLong(Known::noLeaseSinceMs).findFirst();
  }

  /** Returns the stop at a worker; empty if there is none that counts. */
  Optional<LogContent.LeaseStop> stop(String worker) {
    return find(worker).map(Known::stop);
  }

  private Optional<Known> find(String worker) {
    return Optional.ofNullable(byWorker.get(worker)).filter(known -> known.offset() >= validFrom);
  }
}
