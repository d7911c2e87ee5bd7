package org.wheatwall.core.request.model;

/** What a caller is told about its request; exactly one of these, once. */
public enum Outcome {
  /** The runner's whole answer follows. */
  ANSWERED("answered"),
  /** The request did not run and will not run. */
  NOT_RUN("not-run"),
  /** Whether the request ran could not be found out. */
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
