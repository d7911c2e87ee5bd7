package org.wheatwall.app.soak;

/** A promise that was not kept, with what shows it. */
record Violation(Promise promise, String detail) {
  @Override
  public String toString() {
    return promise + ": " + detail;
  }
}
