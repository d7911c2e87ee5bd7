package org.wheatwall.core.request.model;

/** The outcome of a request as reported to the caller, exactly once per request. */
public enum Outcome {
  /** The runner's complete response follows. */
  ANSWERED("answered"),
  /** The request did not run and will not run. */
  NOT_RUN("not-run"),
  /** Whether the request ran could not be determined. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the value of the outcome header. */
  public String label() {
    return label;
  }
}
