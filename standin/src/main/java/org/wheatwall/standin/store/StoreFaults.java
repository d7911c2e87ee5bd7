package org.wheatwall.standin.store;

/**
 * Faults of the store stand-in.
 *
 * @param mode whether calls are answered
 * @param delayMs delay added to each response, milliseconds
 * @param lossProbability probability that an append gets no response, 0 to 1
 * @param unansweredAppendDelayMs delay until an append that gets no response takes effect,
 *     milliseconds
 */
public record StoreFaults(
    Mode mode, int delayMs, double lossProbability, int unansweredAppendDelayMs) {
  /** No fault. */
  public static final StoreFaults NONE = new StoreFaults(Mode.UP, 0, 0, 0);

  /** How calls are handled. */
  public enum Mode {
    /** Calls are served. */
    UP,
    /** Every call is refused with status 503. */
    BUSY,
    /** Calls are neither carried out nor answered. */
    SILENT
  }
}
