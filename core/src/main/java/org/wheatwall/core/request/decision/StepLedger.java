package org.wheatwall.core.request.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;

/**
 * The knowledge of one member of a zone's view about the steps whose keys belong to the zone.
 *
 * <p>One member grants permission to run a step, and all members record the grant before the step
 * runs, so every remaining member knows of it. Records whose step has ended are evicted after
 * {@code keepMs}, or the oldest ones earlier when there are too many; a fingerprint of each
 * remains. The oldest fingerprints are evicted when there are more than {@link #MAX_FINGERPRINTS}.
 *
 * <p>{@link #coveredSinceMs()} is the time since which this member has recorded every grant. A
 * member can state that a key without a record never ran only if the key was issued after that
 * time.
 *
 * <p>Not thread-safe; the owner must synchronize access.
 */
public final class StepLedger {
  /** Maximum number of evicted steps whose fingerprint is kept, 16 bytes each. */
  public static final int MAX_FINGERPRINTS = 200_000;

  // Memory of a record without its key and response, bytes; see docs/capacity-measured.md.
  private static final int RECORD_BYTES = 300;

  /** Coverage time of a zone that had no members before. */
  public static final long SINCE_BEGINNING = Long.MIN_VALUE;

  private final long keepMs;
  private final long attemptMs;
  private final int maxRecords;
  private final long maxBytes;
  private final Map<String, StepRecord> records = new LinkedHashMap<>();
  private final BoundedLongSet fingerprints = new BoundedLongSet(MAX_FINGERPRINTS);
  private long coveredSinceMs = Long.MAX_VALUE;
  private OptionalLong largestWallAheadMs = OptionalLong.empty();
  private long heldBytes;

  /**
   * Creates an empty ledger that covers nothing.
   *
   * @param keepMs how long the response of an ended step is kept, milliseconds
   * @param attemptMs longest duration of an attempt, milliseconds
   * @param maxRecords maximum number of records; above it the oldest ended ones are evicted early,
   *     and no new grant is given if all are in progress
   * @param maxBytes maximum memory of all records and responses, bytes; the same applies above it
   */
  public StepLedger(long keepMs, long attemptMs, int maxRecords, long maxBytes) {
    this.maxBytes = maxBytes;
    this.keepMs = keepMs;
    this.attemptMs = attemptMs;
    this.maxRecords = maxRecords;
  }

  /** The decision of the granting member on a request to run a step. */
  public enum Admission {
    /** The step has not run; record it on all members, then run it. */
    RUN,
    /** The step has ended and its response is retained; return that response. */
    KEPT,
    /** Another attempt is in progress. */
    IN_PROGRESS,
    /** The step ran or may have run. */
    UNKNOWN,
    /** There is no capacity for another record. */
    FULL,
    /** The granting member cannot be reached, or the view of its zone is changing; retry. */
    REFUSED
  }

  /** Sets the time since which every grant is recorded here, wall clock milliseconds. */
  public void setCoveredSince(long sinceMs) {
    coveredSinceMs = sinceMs;
    largestWallAheadMs = OptionalLong.empty();
  }

  /**
   * Moves the coverage time by as much as the wall clock was set ahead since the first call after
   * {@link #setCoveredSince}. If it was slow before, a step from before the coverage would seem to
   * be issued after it. A later time is always safe.
   *
   * @param wallMs wall clock time, milliseconds
   * @param monotonicMs monotonic time at that moment, milliseconds
   */
  public void adjustCoverage(long wallMs, long monotonicMs) {
    long wallAheadMs = wallMs - monotonicMs;
    long knownAheadMs = largestWallAheadMs.orElse(wallAheadMs);
    if (coveredSinceMs != SINCE_BEGINNING && coveredSinceMs != Long.MAX_VALUE) {
      coveredSinceMs += Math.max(0, wallAheadMs - knownAheadMs);
    }
    largestWallAheadMs = OptionalLong.of(Math.max(wallAheadMs, knownAheadMs));
  }

  /** Returns the time since which every grant is recorded here, wall clock milliseconds. */
  public long coveredSinceMs() {
    return coveredSinceMs;
  }

  /** Returns the record of a key. */
  public Optional<StepRecord> find(String key) {
    return Optional.ofNullable(records.get(key));
  }

  /**
   * Returns the decision on a request to run the step of {@code key}. May evict ended records.
   *
   * @param issuedMs when the caller first issued the step, wall clock milliseconds, empty if not
   *     known
   * @param coverageMs time since which some member of the view has recorded every grant, wall clock
   *     milliseconds
   * @param nowMs monotonic time, as for all methods here that take {@code nowMs}
   */
  public Admission admission(String key, Optional<Long> issuedMs, long coverageMs, long nowMs) {
    StepRecord record = records.get(key);
    if (record != null && record.state() != StepState.RELEASED) {
      return switch (record.state()) {
        case STARTED ->
            nowMs - record.changedMs() > attemptMs ? Admission.UNKNOWN : Admission.IN_PROGRESS;
        case ANSWERED -> Admission.KEPT;
        default -> Admission.UNKNOWN;
      };
    }
    boolean beforeCoverage =
        coverageMs != SINCE_BEGINNING && issuedMs.map(issued -> issued <= coverageMs).orElse(true);
    if (fingerprints.contains(fingerprint(key)) || beforeCoverage) {
      return Admission.UNKNOWN;
    }
    return record == null && !evictUntilRecordFits(nowMs) ? Admission.FULL : Admission.RUN;
  }

  /**
   * Records that a grant is being given. Returns false, and changes nothing, if this member knows
   * of another attempt that is not released.
   */
  public boolean recordStart(String key, GrantId grant, long nowMs) {
    StepRecord known = records.get(key);
    if (known != null && known.state() != StepState.RELEASED && !known.grant().equals(grant)) {
      return false;
    }
    if (fingerprints.contains(fingerprint(key))) {
      return false;
    }
    if (known == null) {
      evictUntilRecordFits(nowMs);
    }
    store(new StepRecord(key, grant, StepState.STARTED, Optional.empty(), nowMs));
    return true;
  }

  // Evicts the oldest ended records before their time rather than refuse new steps. A repeated
  // request for one of them then gets "unknown" and still never runs a second time. Returns whether
  // another record fits.
  private boolean evictUntilRecordFits(long nowMs) {
    Iterator<StepRecord> oldestFirst = records.values().iterator();
    while (!hasFreeCapacity() && oldestFirst.hasNext()) {
      StepRecord record = oldestFirst.next();
      boolean inProgress =
          record.state() == StepState.STARTED && nowMs - record.changedMs() <= attemptMs;
      if (!inProgress) {
        oldestFirst.remove();
        heldBytes -= bytes(record);
        keepFingerprint(record);
      }
    }
    return hasFreeCapacity();
  }

  private boolean hasFreeCapacity() {
    return records.size() < maxRecords && heldBytes < maxBytes;
  }

  private static long bytes(StepRecord record) {
    int body = record.response().map(response -> response.body().length).orElse(0);
    return (long) RECORD_BYTES + record.key().length() + body;
  }

  private void keepFingerprint(StepRecord record) {
    if (record.state() != StepState.RELEASED) {
      fingerprints.add(fingerprint(record.key()));
    }
  }

  /** Records the outcome of a step; ignored unless it belongs to the recorded attempt. */
  public void recordOutcome(
      String key, GrantId grant, StepState state, Optional<RunnerResponse> response, long nowMs) {
    StepRecord known = records.get(key);
    boolean sameAttempt = known != null && known.grant().equals(grant);
    // A delayed message must not replace a known response by an unknown outcome.
    if (sameAttempt && (known.state() == StepState.STARTED || known.state() == StepState.UNKNOWN)) {
      store(new StepRecord(key, grant, state, response, nowMs));
    }
  }

  /** Merges a record of another member; the more advanced of the two is kept. */
  public void merge(StepRecord record) {
    StepRecord known = records.get(record.key());
    boolean replaces =
        known == null
            || known.state() == StepState.RELEASED
            || (known.state() == StepState.STARTED && record.state() != StepState.RELEASED);
    if (replaces) {
      store(record);
    }
  }

  /** Evicts records whose retention time has passed; a fingerprint of each remains. */
  public void evictExpired(long nowMs) {
    Iterator<StepRecord> oldestFirst = records.values().iterator();
    while (oldestFirst.hasNext()) {
      StepRecord record = oldestFirst.next();
      if (nowMs - record.changedMs() < keepMs) {
        return;
      }
      oldestFirst.remove();
      heldBytes -= bytes(record);
      keepFingerprint(record);
    }
  }

  /**
   * Returns up to {@code limit} records after skipping {@code from}, least recently changed first.
   */
  public List<StepRecord> page(int from, int limit) {
    List<StepRecord> page = new ArrayList<>(limit);
    int position = 0;
    for (StepRecord record : records.values()) {
      if (position >= from) {
        page.add(record);
      }
      position++;
      if (page.size() == limit) {
        break;
      }
    }
    return page;
  }

  /** Returns the fingerprints of evicted steps. */
  public long[] fingerprints() {
    return fingerprints.toArray();
  }

  /** Merges fingerprints of another member. */
  public void mergeFingerprints(long[] others) {
    for (long other : others) {
      fingerprints.add(other);
    }
  }

  /** Returns the memory of all records and responses, bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the number of records. */
  public int size() {
    return records.size();
  }

  private void store(StepRecord record) {
    // Removes the record first, so that iteration order is the order of changes.
    StepRecord before = records.remove(record.key());
    heldBytes += bytes(record) - (before == null ? 0 : bytes(before));
    records.put(record.key(), record);
  }

  private static long fingerprint(String key) {
    return RendezvousHash.hash(key);
  }
}
