package org.wheatwall.core.batch.model;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Content of a job log record. */
public sealed interface LogContent {
  /**
   * Definition of an accepted job. The first record of an identifier counts that no cancellation
   * made void.
   *
   * @param readOffset offset up to which the accepting host had read the log when it took the call
   *     in; empty in records of earlier versions
   */
  record Definition(BatchJob job, OptionalLong readOffset) implements LogContent {
    /** Creates a definition whose host did not tell how far it had read the log. */
    public Definition(BatchJob job) {
      this(job, OptionalLong.empty());
    }
  }

  /**
   * Request to cancel a job.
   *
   * @param scope whose jobs it applies to, if the job was not known: it then applies to all
   *     submissions that were taken in by hosts that had not read it, whenever they are appended,
   *     and to none after that; empty if the job was known, in which case it applies for good
   */
  record Cancellation(long requestedAtMs, Optional<CancelScope> scope) implements LogContent {
    /** Creates the cancellation of a known job. */
    public Cancellation(long requestedAtMs) {
      this(requestedAtMs, Optional.empty());
    }
  }

  /**
   * End of a job.
   *
   * @param reason cause of the end, for operators
   * @param endedAtMs Unix milliseconds on the decider's clock
   */
  record End(BatchState state, String reason, long endedAtMs) implements LogContent {}

  /** State of a group of tasks. */
  record Group(GroupState state) implements LogContent {}

  /**
   * The done groups of a job that have no record of their own any more.
   *
   * @param wholeOccurrences number of the first occurrence of which not all groups are among them
   * @param occurrences for later occurrences, the positions of the groups among all groups of the
   *     occurrence, in the order of steps and indexes
   */
  record DoneGroups(int wholeOccurrences, SortedMap<Integer, BitSet> occurrences)
      implements LogContent {
    /** Copies the positions. */
    public DoneGroups {
      occurrences =
          occurrences.entrySet().stream()
              .collect(
                  Collectors.toMap(
                      Map.Entry::getKey,
                      entry -> (BitSet) entry.getValue().clone(),
                      (one, other) -> one,
                      TreeMap::new));
    }
  }

  /**
   * Announcement of an entry host, with the address at which it accepts forwarded calls.
   *
   * @param address IP number and port
   */
  record Host(String address, String zone) implements LogContent {}

  /**
   * Promise that no lease is extended at a worker while this record stands.
   *
   * @param ageMs for how long before this record no lease had been extended there, milliseconds; at
   *     least 1
   * @param clocks clocks of other workers when this record was written, by which a process that was
   *     not running then can tell how long ago that was
   */
  record LeaseStop(long ageMs, List<WorkerClock> clocks) implements LogContent {
    /** Validates the age. */
    public LeaseStop {
      clocks = List.copyOf(clocks);
      if (ageMs < 1) {
        throw new IllegalArgumentException("the age of a lease stop is at least 1 ms: " + ageMs);
      }
    }
  }

  /**
   * Claim, renewal or release of the leadership term.
   *
   * @param holder name of the host that holds the term
   * @param address address of that host; another process at the address has replaced this one
   * @param incarnation identifier of the deciding process
   * @param term number of the term, or 0 in a claim, whose offset determines the number
   * @param released whether the holder has released the term
   * @param successor name of the host that shall claim the released term, if the holder chose one
   * @param usableAccelerators accelerators of the workers that can receive new work, if the holder
   *     knows them
   * @param leaseStopsFrom offset from which each {@link LeaseStop} counts; empty if the holder may
   *     extend leases although one stands, as earlier versions do
   */
  record Term(
      String holder,
      String address,
      String incarnation,
      long term,
      boolean released,
      Optional<String> successor,
      OptionalInt usableAccelerators,
      OptionalLong leaseStopsFrom)
      implements LogContent {
    /** Creates the record of a term without known capacity, where each lease stop counts. */
    public Term(
        String holder,
        String address,
        String incarnation,
        long term,
        boolean released,
        Optional<String> successor) {
      this(
          holder,
          address,
          incarnation,
          term,
          released,
          successor,
          OptionalInt.empty(),
          OptionalLong.of(0));
    }

    /** Creates the record of a term without a chosen successor. */
    public Term(String holder, String address, String incarnation, long term, boolean released) {
      this(holder, address, incarnation, term, released, Optional.empty());
    }
  }
}
