package org.wheatwall.entry.batch;

import java.util.OptionalLong;

/**
 * How far this host had read the job log when a call arrived. A call that is processed after the
 * process or its machine stood still may have arrived at any time meanwhile, so what was read since
 * does not count for it.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class ReadOffsets {
  // Longer than the periodic task is late on a busy host, shorter than the time in which a caller
  // gives a call up and cancels the job elsewhere.
  private static final int STANDSTILL_MS = 1000;
  // Calls that arrived during a standstill are processed within this time after it.
  private static final int PROCESSING_MS = 500;

  private long tickAtMs;
  private long offsetAtTick;
  private long offsetBeforeStandstill;
  private long standstillEndedAtMs;

  /** Creates the offsets of a host that has not read the log. */
  ReadOffsets(long leaseTimeMs) {
    this.tickAtMs = leaseTimeMs;
    this.standstillEndedAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records a run of the periodic task.
   *
   * @param leaseTimeMs time that counts suspensions, milliseconds
   * @param offset offset of the next record to be read
   */
  void recordTick(long leaseTimeMs, long offset) {
    if (leaseTimeMs - tickAtMs >= STANDSTILL_MS) {
      offsetBeforeStandstill = offsetAtTick;
      standstillEndedAtMs = leaseTimeMs;
    }
    tickAtMs = leaseTimeMs;
    offsetAtTick = offset;
  }

  /** Returns up to which offset the log had been read when a call arrived that is processed now. */
  long offsetAtArrival(long leaseTimeMs, long offset) {
    return limitAfterStandstill(leaseTimeMs).orElse(offset);
  }

  /**
   * Returns the offset that counts for calls that may have arrived during a standstill; empty if
   * those that are processed now arrived after it.
   */
  OptionalLong limitAfterStandstill(long leaseTimeMs) {
    if (leaseTimeMs - tickAtMs >= STANDSTILL_MS) {
      return OptionalLong.of(offsetAtTick);
    }
    return leaseTimeMs - standstillEndedAtMs < PROCESSING_MS
        ? OptionalLong.of(offsetBeforeStandstill)
        : OptionalLong.empty();
  }
}
