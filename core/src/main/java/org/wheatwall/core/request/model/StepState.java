package org.wheatwall.core.request.model;

/** What is known about a step that may not be repeated. */
public enum StepState {
  /** Admission to run was given; the outcome is not known yet. */
  STARTED(0),
  /** The answer is kept. */
  ANSWERED(1),
  /** It ran, or may have run, and there is no answer. */
  UNKNOWN(2),
  /** It did not run; leave may be given again. */
  RELEASED(3);

  private final int number;

  StepState(int number) {
    this.number = number;
  }

  /** Returns the number of this state in messages. */
  public int number() {
    return number;
  }

  /** Returns the state with this number; an unknown one is taken as unknown. */
  public static StepState ofNumber(int number) {
    for (StepState state : values()) {
      if (state.number == number) {
        return state;
      }
    }
    return UNKNOWN;
  }
}
