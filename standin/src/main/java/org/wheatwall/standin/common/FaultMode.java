package org.wheatwall.standin.common;

/**
 * Faults of a stand-in's answers, set by {@code PUT /fault}.
 *
 * @param outage whether every call fails before it takes effect
 * @param loseAnswersPercent share of calls that take effect but whose answer never comes
 * @param delayMs delay of every answer, milliseconds
 */
public record FaultMode(boolean outage, int loseAnswersPercent, int delayMs) {
  /** No fault. */
  public static final FaultMode NONE = new FaultMode(false, 0, 0);
}
