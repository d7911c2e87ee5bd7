package org.wheatwall.entry.common;

/** Time as an entry host sees it. */
public interface Clock {
  /**
   * Returns monotonic time, milliseconds from an arbitrary start. It may stand still while the
   * machine is suspended, so it is for waits, which only become longer by that.
   */
  long nowMs();

  /** Returns wall clock time, milliseconds since 1970. */
  long wallMs();

  /**
   * Returns by how much {@link #leaseTimeMs} is ahead of {@link #nowMs}. It changes when the
   * machine may have been suspended: what was confirmed before has to be confirmed again.
   */
  default long skippedMs() {
    return 0;
  }

  /**
   * Returns the time by which this host holds limits on what it may still do, such as to give
   * orders under its term. It is never behind real time by more than a fraction of a second.
   */
  default long leaseTimeMs() {
    return skippedMs() + nowMs();
  }
}
