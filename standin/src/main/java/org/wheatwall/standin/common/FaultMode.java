package org.wheatwall.standin.common;

/**
 * Faults of a stand-in's responses, set by {@code PUT /fault}.
 *
 * @param outage whether every call fails before it takes effect
 * @param loseAnswersPercent percentage of calls that take effect but whose response is never sent
 * @param delayMs delay of every response, milliseconds
 */
public record FaultMode(boolean outage, int loseAnswersPercent, int delayMs) {
  /** No fault. */
  public static final FaultMode NONE = new FaultMode(false, 0, 0);
}
