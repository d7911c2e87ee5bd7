package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.policy.QueuedJob;

/** An attempt that holds resources, from the decision to start it until it has ended. */
public final class RunningAttempt {
  // Checkpoints are at most one second old; resuming from one takes another quarter of a second.
  private static final long MAX_RESUME_LOSS_MS = 1000;
  // Urgent work misses its objective if it is stopped, while other work has time to run again. This
  // is the run time of the longest tasks of other classes, so that urgent work is stopped last.
  private static final double URGENT_STOP_PENALTY_SECONDS = 11;

  private final String attemptId;
  private final String jobName;
  private final Job job;
  private final Placement placement;
  private final long startedAtMs;
  private final long submittedAtMs;
  private double expectedEndMs;
  private boolean stopping;

  /**
   * Creates an attempt that starts now.
   *
   * @param runTimeRatio run time on the slowest of its hosts, relative to the median host
   */
  RunningAttempt(
      String attemptId,
      QueuedJob start,
      Placement placement,
      long startedAtMs,
      double runTimeRatio) {
    this.attemptId = attemptId;
    this.jobName = start.name();
    this.job = start.job();
    this.placement = placement;
    this.startedAtMs = startedAtMs;
    this.submittedAtMs = start.submittedAtMs();
    this.expectedEndMs =
        job.options().longRunning()
            ? Double.POSITIVE_INFINITY
            : startedAtMs + start.expectedSeconds() * runTimeRatio * 1000;
  }

  /** Returns the identifier of this attempt. */
  public String attemptId() {
    return attemptId;
  }

  /** Returns the name of the job. */
  public String jobName() {
    return jobName;
  }

  /** Returns the job. */
  public Job job() {
    return job;
  }

  /** Returns the placement that it was started with. */
  public Placement placement() {
    return placement;
  }

  /** Returns when it was started, milliseconds of the decision loop's clock. */
  public long startedAtMs() {
    return startedAtMs;
  }

  /** Returns when its job was submitted, milliseconds of the decision loop's clock. */
  public long submittedAtMs() {
    return submittedAtMs;
  }

  /** Returns whether its job is younger than {@code other}; names break ties of submission time. */
  public boolean isYoungerThan(QueuedJob other) {
    return submittedAtMs != other.submittedAtMs()
        ? submittedAtMs > other.submittedAtMs()
        : jobName.compareTo(other.name()) > 0;
  }

  /** Returns whether it is expected to end by itself. */
  public boolean hasExpectedEnd() {
    return expectedEndMs < Double.POSITIVE_INFINITY;
  }

  /**
   * Returns when it is expected to end, milliseconds of the decision loop's clock; positive
   * infinity if it runs until it is cancelled.
   */
  public double expectedEndMs() {
    return expectedEndMs;
  }

  void setExpectedEndMs(double next) {
    expectedEndMs = next;
  }

  /** Returns whether it has been ordered to stop. */
  public boolean stopping() {
    return stopping;
  }

  void markStopping() {
    stopping = true;
  }

  /**
   * Returns the cost of stopping it now: the accelerator-seconds of work lost, plus those of a long
   * run if it is urgent.
   */
  double stopCost(long nowMs) {
    long runMs = Math.max(1, nowMs - startedAtMs);
    long lostMs = job.options().resumable() ? Math.min(runMs, MAX_RESUME_LOSS_MS) : runMs;
    double seconds = lostMs / 1000.0 + (job.urgent() ? URGENT_STOP_PENALTY_SECONDS : 0);
    return seconds * Math.max(1, job.totalAccelerators());
  }
}
