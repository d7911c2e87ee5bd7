package org.wheatwall.core.batch.decision;

/**
 * A term under which a host may give orders, as of some moment.
 *
 * @param term number of the term, 0 if none is held
 * @param untilMs limit time until which orders may be given at least
 */
public record ActingTerm(long term, long untilMs) {
  /** No term is held. */
  public static final ActingTerm NONE = new ActingTerm(0, Long.MIN_VALUE);

  /** Returns whether orders may be given under {@code number} at a limit time. */
  public boolean allowsCommands(long number, long limitMs) {
    return term != 0 && term == number && limitMs < untilMs;
  }
}
