package org.wheatwall.app.soak;

/** A promise that was not kept, with what shows it. */
record Violation(Invariant invariant, String detail) {
  @Override
  public String toString() {
    return invariant + ": " + detail;
  }
}
