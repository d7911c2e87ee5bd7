package org.wheatwall.core.batch.decision;

import java.util.Comparator;

/**
 * A step of an occurrence whose dependencies are done: which of its groups were released to the
 * scheduler, in the order of their indexes, and how many of these wait.
 */
final class OpenStep {
  /** Earlier occurrences first, then earlier steps. */
  static final Comparator<OpenStep> ORDER =
      Comparator.comparingInt(OpenStep::occurrence).thenComparingInt(OpenStep::step);

  private final int occurrence;
  private final int step;
  private final int groups;
  private int released;
  private int waiting;

  OpenStep(int occurrence, int step, int groups) {
    this.occurrence = occurrence;
    this.step = step;
    this.groups = groups;
  }

  int occurrence() {
    return occurrence;
  }

  int step() {
    return step;
  }

  /** Returns the number of groups that wait in the scheduler's queue. */
  int waiting() {
    return waiting;
  }

  void addWaiting(int count) {
    waiting += count;
  }

  /** Returns whether all groups were released. */
  boolean isReleased() {
    return released >= groups;
  }

  /** Releases the next group and returns its index. */
  int releaseNext() {
    return released++;
  }
}
