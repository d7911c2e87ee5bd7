package org.wheatwall.core.batch.decision;

/**
 * The term that a host holds, and until when it may send commands under it.
 *
 * @param term number of the term, 0 if none is held
 * @param untilMs lease time before which commands may be sent
 */
public record ActingTerm(long term, long untilMs) {
  /** The value while no term is held. */
  public static final ActingTerm NONE = new ActingTerm(0, Long.MIN_VALUE);

  /** Returns whether commands may be sent under the term {@code number} at a lease time. */
  public boolean allowsCommands(long number, long leaseTimeMs) {
    return term != 0 && term == number && leaseTimeMs < untilMs;
  }
}
