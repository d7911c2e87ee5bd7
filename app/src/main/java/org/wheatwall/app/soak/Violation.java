package org.wheatwall.app.soak;

/** A violated invariant, with the observation that shows it. */
record Violation(Invariant invariant, String detail) {
  @Override
  public String toString() {
    return invariant + ": " + detail;
  }
}
