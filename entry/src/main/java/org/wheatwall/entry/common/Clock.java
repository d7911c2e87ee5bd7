package org.wheatwall.entry.common;

/** The clocks of an entry host. */
public interface Clock {
  /**
   * Returns monotonic time, milliseconds from an arbitrary start. It may stop while the machine is
   * suspended, so it is used for delays, which only become longer.
   */
  long nowMs();

  /** Returns wall clock time, milliseconds since 1970. */
  long wallMs();

  /**
   * Returns by how much {@link #leaseTimeMs} is ahead of {@link #nowMs}. The value changes when the
   * machine may have been suspended: what was confirmed before must be confirmed again.
   */
  default long skippedMs() {
    return 0;
  }

  /**
   * Returns the time by which the leases of this host expire, such as its term, milliseconds. It is
   * never behind real time by more than a fraction of a second.
   */
  default long leaseTimeMs() {
    return skippedMs() + nowMs();
  }
}
