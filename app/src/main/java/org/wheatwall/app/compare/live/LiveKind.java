package org.wheatwall.app.compare.live;

import java.util.Locale;
import org.wheatwall.core.job.model.Objective;

/** The kinds of jobs of a live simulation, modelled on the documented customer workloads. */
enum LiveKind {
  /** Urgent gangs that arrive in bursts. */
  LIVE(0, 2500, 1.5, 250, 4, 0.8),
  /** Long gangs; half of them write checkpoints. */
  LONG(1, 8500, 3, 1000, 3, 0.9),
  /** Wide jobs of single tasks. */
  WIDE(2, 7600, 3, 3000, 1, 0.3);

  private final int priority;
  private final int meanMs;
  private final double stretch;
  private final int latencyMs;
  private final double credit;
  private final double lateCredit;

  LiveKind(
      int priority, int meanMs, double stretch, int latencyMs, double credit, double lateCredit) {
    this.priority = priority;
    this.meanMs = meanMs;
    this.stretch = stretch;
    this.latencyMs = latencyMs;
    this.credit = credit;
    this.lateCredit = lateCredit;
  }

  String queue() {
    return name().toLowerCase(Locale.ROOT);
  }

  int priority() {
    return priority;
  }

  /** Returns the mean run time of a task, milliseconds. */
  int meanMs() {
    return meanMs;
  }

  Objective objective() {
    return new Objective(stretch, latencyMs);
  }

  /** Returns the credit for a job that meets its objective. */
  double credit() {
    return credit;
  }

  /** Returns the credit for a job that completes late. */
  double lateCredit() {
    return lateCredit;
  }
}
