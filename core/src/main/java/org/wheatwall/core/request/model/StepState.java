package org.wheatwall.core.request.model;

/** The known state of a step that must not run twice. */
public enum StepState {
  /** Permission to run was granted; the outcome is not known yet. */
  STARTED(0),
  /** The step has ended and its response is retained. */
  ANSWERED(1),
  /** The step ran or may have run, and there is no response. */
  UNKNOWN(2),
  /** The step did not run; permission may be granted again. */
  RELEASED(3);

  private final int number;

  StepState(int number) {
    this.number = number;
  }

  /** Returns the number of this state in messages. */
  public int number() {
    return number;
  }

  /** Returns the state with this number, {@link #UNKNOWN} for any other number. */
  public static StepState ofNumber(int number) {
    for (StepState state : values()) {
      if (state.number == number) {
        return state;
      }
    }
    return UNKNOWN;
  }
}
