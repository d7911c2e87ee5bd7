package org.wheatwall.standin.store;

/**
 * How the stand-in of the store misbehaves.
 *
 * @param delayMs added to each answer, milliseconds
 * @param lossProbability share of the appends that are not answered
 * @param unansweredAppendDelayMs when an append without an answer is carried out, milliseconds
 *     after it came
 */
public record StoreFaults(
    Mode mode, int delayMs, double lossProbability, int unansweredAppendDelayMs) {
  /** No fault. */
  public static final StoreFaults NONE = new StoreFaults(Mode.UP, 0, 0, 0);

  /** Whether calls are answered. */
  public enum Mode {
    UP,
    /** Every call is refused. */
    BUSY,
    /** No call is answered, and nothing is done. */
    SILENT
  }
}
