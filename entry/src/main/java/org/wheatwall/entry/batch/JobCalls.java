package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.entry.batch.BatchHost.JobSummary;
import org.wheatwall.entry.batch.log.LogFollower;

/**
 * Serves the calls of submitters about single jobs. An answer stays true whatever happens to the
 * records of the job that are still being appended.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobCalls {
  // The end of a job is read two log calls after it happened: usually 8 ms, 0.28 s with a log that
  // is 34 times slower. A caller may only be polling, so its call is not held longer than that.
  private static final int MAX_END_WAIT_MS = 300;

  private final Mechanisms mechanisms;
  private final BatchContext context;
  private final LogFollower follower;
  private final JobReplica replica;
  private final JobIntake intake;
  private final JobEndWaiters endWaiters;
  private final Function<BatchJob, Optional<Refusal>> admission;
  private final CoalescedCatchUp logCatchUp;

  /**
   * Creates the calls of one host.
   *
   * @param admission returns why a job is rejected, empty if it may be accepted
   */
  JobCalls(
      Mechanisms mechanisms,
      BatchContext context,
      LogFollower follower,
      JobReplica replica,
      JobIntake intake,
      JobEndWaiters endWaiters,
      Function<BatchJob, Optional<Refusal>> admission) {
    this.mechanisms = mechanisms;
    this.context = context;
    this.follower = follower;
    this.replica = replica;
    this.intake = intake;
    this.endWaiters = endWaiters;
    this.admission = admission;
    this.logCatchUp = new CoalescedCatchUp(follower, context);
  }

  /** Accepts a job, see {@link BatchHost#submit}. */
  CompletableFuture<Void> submit(BatchJob job, long deadlineMs) {
    if (!follower.isStarted() || follower.isFailing()) {
      throw intake.undecidedJob(job.id()).isPresent()
          ? JobIntake.undecided()
          : BatchContext.unavailable("the job log cannot be read now");
    }
    if (replica.table().job(job.id()).isPresent()) {
      return CompletableFuture.completedFuture(null);
    }
    return rejection(job).isPresent()
        ? rejectUnlessAccepted(job, deadlineMs)
        : intake.accept(job, deadlineMs);
  }

  // An earlier attempt may have been accepted elsewhere since this host last read the log, so the
  // log is read to its end before the rejection says that the job does not run.
  private CompletableFuture<Void> rejectUnlessAccepted(BatchJob job, long deadlineMs) {
    return logCatchUp
        .catchUp()
        .thenComposeAsync(
            done -> {
              if (replica.table().job(job.id()).isPresent()) {
                return CompletableFuture.completedFuture(null);
              }
              Optional<Refusal> refusal = rejection(job);
              return refusal.isPresent()
                  ? CompletableFuture.failedFuture(refusal.get())
                  : intake.accept(job, deadlineMs);
            },
            context.loop());
  }

  // A job that an earlier attempt may still add to the log cannot be rejected any more.
  private Optional<Refusal> rejection(BatchJob job) {
    return intake.undecidedJob(job.id()).isPresent() ? Optional.empty() : admission.apply(job);
  }

  /** Returns a job's summary, see {@link BatchHost#find}. */
  CompletableFuture<Optional<JobSummary>> find(String jobId) {
    return findInLog(jobId)
        .thenApplyAsync(
            found -> {
              if (found.isEmpty() && intake.undecidedJob(jobId).isPresent()) {
                throw BatchContext.unavailable("an attempt to submit the job is not decided yet");
              }
              return found;
            },
            context.loop());
  }

  private CompletableFuture<Optional<JobSummary>> findInLog(String jobId) {
    Optional<JobSummary> known = summary(jobId);
    return known.isPresent()
        ? CompletableFuture.completedFuture(known)
        : logCatchUp.catchUp().thenApply(done -> summary(jobId));
  }

  /** Returns a job's summary or waits for its end, see {@link BatchHost#findOrAwaitEnd}. */
  CompletableFuture<Optional<JobSummary>> findOrAwaitEnd(String jobId, long deadlineMs) {
    return find(jobId)
        .thenComposeAsync(found -> awaitEnd(jobId, found, deadlineMs), context.loop());
  }

  private CompletableFuture<Optional<JobSummary>> awaitEnd(
      String jobId, Optional<JobSummary> found, long deadlineMs) {
    long waitMs = Math.min(MAX_END_WAIT_MS, deadlineMs - context.clock().nowMs());
    boolean mayWait = mechanisms.isEnabled(Mechanism.END_WAIT) && !follower.isFailing();
    boolean alreadyEnded = found.map(summary -> summary.state().ended()).orElse(true);
    if (alreadyEnded || waitMs <= 0 || !mayWait) {
      return CompletableFuture.completedFuture(found);
    }
    CompletableFuture<Void> ended = endWaiters.awaitEnd(jobId, waitMs);
    follower.endPause();
    return ended.thenApply(done -> summary(jobId));
  }

  /** Requests the cancellation of a job, see {@link BatchHost#cancel}. */
  CompletableFuture<Boolean> cancel(
      String jobId, Consumer<JobSummary> permission, long deadlineMs) {
    return findInLog(jobId)
        .thenComposeAsync(found -> cancel(jobId, found, permission, deadlineMs), context.loop());
  }

  // A submission that is still being appended is cancelled behind it.
  private CompletableFuture<Boolean> cancel(
      String jobId, Optional<JobSummary> found, Consumer<JobSummary> permission, long deadlineMs) {
    Optional<JobSummary> known =
        found.or(() -> intake.undecidedJob(jobId).map(JobCalls::undecidedSummary));
    known.ifPresent(permission);
    if (known.isEmpty() || known.get().state().ended()) {
      return CompletableFuture.completedFuture(known.isPresent());
    }
    return intake.cancel(jobId, deadlineMs).thenCompose(done -> catchUpAfterWrite());
  }

  // Lets callers read their own writes: the next query sees the effect of this call. The call
  // itself has succeeded whether or not the log can be read.
  private CompletableFuture<Boolean> catchUpAfterWrite() {
    return logCatchUp.catchUp().handle((done, failure) -> true);
  }

  private Optional<JobSummary> summary(String jobId) {
    return replica.table().job(jobId).map(JobCalls::summary);
  }

  private static JobSummary summary(JobRecord record) {
    return summary(record.job().orElseThrow(), record.state());
  }

  private static JobSummary undecidedSummary(BatchJob job) {
    return summary(job, BatchState.QUEUED);
  }

  private static JobSummary summary(BatchJob job, BatchState state) {
    return new JobSummary(job.workspace(), job.queue(), state);
  }
}
