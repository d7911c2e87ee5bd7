package org.wheatwall.core.request.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;

/**
 * What one member of a zone's view knows about the steps whose keys belong to the zone.
 *
 * <p>Admission to run a step is given by one member and recorded by all before the step runs, so
 * any member that stays knows of it. Records whose step ended are forgotten after {@code keepMs},
 * or the oldest earlier when there are too many, down to a fingerprint; fingerprints go when there
 * are more than {@link #MAX_FINGERPRINTS}.
 *
 * <p>{@link #coveredSinceMs()} tells since when this member has recorded every leave. About a key
 * it has no record of, a member can say "never ran" only if the key was issued after that time.
 *
 * <p>Not thread-safe; its owner guards it.
 */
public final class StepLedger {
  /** Forgotten steps of which a fingerprint is kept, 16 bytes each. */
  public static final int MAX_FINGERPRINTS = 200_000;

  // Memory of a record besides its key and answer; see docs/capacity-measured.md.
  private static final int RECORD_BYTES = 300;

  /** Coverage of a zone that never had members before. */
  public static final long SINCE_BEGINNING = Long.MIN_VALUE;

  private final long keepMs;
  private final long attemptMs;
  private final int maxRecords;
  private final long maxBytes;
  private final Map<String, StepRecord> records = new LinkedHashMap<>();
  private final BoundedLongSet fingerprints = new BoundedLongSet(MAX_FINGERPRINTS);
  private long coveredSinceMs = Long.MAX_VALUE;
  private long heldBytes;

  /**
   * Creates an empty ledger that covers nothing.
   *
   * @param keepMs how long the answer of an ended step is kept, milliseconds
   * @param tryMs longest time that a try can be under way, milliseconds
   * @param maxRecords most records; beyond it the oldest ended ones are forgotten early, and no new
   *     leave is given if all are under way
   * @param maxBytes most memory of all records and answers, bytes; the same holds beyond it
   */
  public StepLedger(long keepMs, long tryMs, int maxRecords, long maxBytes) {
    this.maxBytes = maxBytes;
    this.keepMs = keepMs;
    this.attemptMs = tryMs;
    this.maxRecords = maxRecords;
  }

  /** What a member that gives leave may do about a key. */
  public enum Admission {
    /** Nobody ran it; record it everywhere, then run it. */
    RUN,
    /** The kept answer is the answer. */
    KEPT,
    /** Another try is under way. */
    IN_PROGRESS,
    /** It ran or may have run. */
    UNKNOWN,
    /** There is no room for another record. */
    FULL,
    /** The keeper cannot be reached, or the view of its zone is changing; ask again. */
    REFUSED
  }

  /** Sets since when every leave is recorded here, wall clock milliseconds. */
  public void setCoveredSince(long sinceMs) {
    coveredSinceMs = sinceMs;
  }

  /** Returns since when every leave is recorded here. */
  public long coveredSinceMs() {
    return coveredSinceMs;
  }

  /** Returns the record of a key. */
  public Optional<StepRecord> find(String key) {
    return Optional.ofNullable(records.get(key));
  }

  /**
   * Returns what to do about a key.
   *
   * @param issuedMs when the caller first issued the step, wall clock, empty if it did not say
   * @param coverageMs since when some member of the view has recorded every leave
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
   * Records that leave is being given. Returns false, and changes nothing, if this member knows of
   * another try that is not released.
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

  // Rather than refuse new steps, the answers of the oldest are given up before their time. A
  // repeat of one is then "unknown", and still never a second run. Returns whether there is room.
  private boolean evictUntilRecordFits(long nowMs) {
    Iterator<StepRecord> oldestFirst = records.values().iterator();
    while (!hasFreeCapacity() && oldestFirst.hasNext()) {
      StepRecord record = oldestFirst.next();
      boolean underWay =
          record.state() == StepState.STARTED && nowMs - record.changedMs() <= attemptMs;
      if (!underWay) {
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
    int body = record.response().map(answer -> answer.body().length).orElse(0);
    return (long) RECORD_BYTES + record.key().length() + body;
  }

  private void keepFingerprint(StepRecord record) {
    if (record.state() != StepState.RELEASED) {
      fingerprints.add(fingerprint(record.key()));
    }
  }

  /** Records how a step ended; ignored unless it is about the recorded try. */
  public void recordOutcome(
      String key, GrantId grant, StepState state, Optional<RunnerResponse> answer, long nowMs) {
    StepRecord known = records.get(key);
    boolean sameTry = known != null && known.grant().equals(grant);
    // What is known to have been answered is not made unknown by a late message.
    if (sameTry && (known.state() == StepState.STARTED || known.state() == StepState.UNKNOWN)) {
      store(new StepRecord(key, grant, state, answer, nowMs));
    }
  }

  /** Takes in a record of another member; the more advanced of the two stays. */
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

  /** Forgets ended steps that are old enough; a fingerprint of each stays. */
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

  /** Returns up to {@code limit} records after skipping {@code from}, oldest change first. */
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

  /** Returns the fingerprints of forgotten steps. */
  public long[] fingerprints() {
    return fingerprints.toArray();
  }

  /** Takes in fingerprints of another member. */
  public void mergeFingerprints(long[] others) {
    for (long other : others) {
      fingerprints.add(other);
    }
  }

  /** Returns the memory of all records and answers, bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the number of records. */
  public int size() {
    return records.size();
  }

  private void store(StepRecord record) {
    // Removed first so that iteration order is the order of changes.
    StepRecord before = records.remove(record.key());
    heldBytes += bytes(record) - (before == null ? 0 : bytes(before));
    records.put(record.key(), record);
  }

  private static long fingerprint(String key) {
    return RendezvousHash.hash(key);
  }
}
