package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.LogKey;
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
  // A read in flight may have been lost; later than this, the log is asked for its end.
  private static final int MAX_DEFINITION_WAIT_MS = 250;

  private final Mechanisms mechanisms;
  private final BatchContext context;
  private final LogFollower follower;
  private final JobReplica replica;
  private final JobIntake intake;
  private final RecordWaiters recordWaiters;
  private final Function<BatchJob, Optional<Refusal>> admission;
  private final CoalescedCatchUp logCatchUp;
  private final UnknownCancellations unknownCancellations;
  private final LongSupplier readOffset;

  /**
   * Creates the calls of one host.
   *
   * @param admission returns why a job is rejected, empty if it may be accepted
   * @param readOffset returns the offset up to which this host had read the log when the call
   *     arrived that it processes
   */
  JobCalls(
      Mechanisms mechanisms,
      BatchContext context,
      LogFollower follower,
      JobReplica replica,
      JobIntake intake,
      RecordWaiters recordWaiters,
      Function<BatchJob, Optional<Refusal>> admission,
      UnknownCancellations unknownCancellations,
      LongSupplier readOffset) {
    this.mechanisms = mechanisms;
    this.context = context;
    this.follower = follower;
    this.replica = replica;
    this.intake = intake;
    this.recordWaiters = recordWaiters;
    this.admission = admission;
    this.logCatchUp = new CoalescedCatchUp(follower, context);
    this.unknownCancellations = unknownCancellations;
    this.readOffset = readOffset;
  }

  /** Accepts a job, see {@link BatchHost#submit}. */
  CompletableFuture<Void> submit(BatchJob job, long readLimit, long deadlineMs) {
    if (!follower.isStarted() || follower.isFailing()) {
      throw intake.undecidedJob(job.id()).isPresent()
          ? JobIntake.undecided()
          : BatchContext.unavailable("the job log cannot be read now");
    }
    if (isAccepted(job.id())) {
      return CompletableFuture.completedFuture(null);
    }
    long readByNow = Math.max(0, Math.min(readOffset.getAsLong(), readLimit));
    return rejection(job).isPresent()
        ? rejectUnlessAccepted(job, readByNow, deadlineMs)
        : accept(job, readByNow, deadlineMs);
  }

  private boolean isAccepted(String jobId) {
    return replica.table().job(jobId).filter(record -> !record.isVoid()).isPresent();
  }

  // The record may stand behind a cancellation that this host has not read yet. Reading it takes
  // another call to the log, usually one that is in flight.
  private CompletableFuture<Void> accept(BatchJob job, long readByNow, long deadlineMs) {
    return intake
        .accept(job, readByNow, deadlineMs)
        .thenComposeAsync(done -> awaitDefinition(job.id()), context.loop())
        .thenAcceptAsync(done -> requireAccepted(job.id()), context.loop());
  }

  private CompletableFuture<Void> awaitDefinition(String jobId) {
    if (isAccepted(jobId)) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> read = recordWaiters.await(LogKey.job(jobId), MAX_DEFINITION_WAIT_MS);
    follower.endPause();
    return read.thenComposeAsync(
        done ->
            isAccepted(jobId)
                ? CompletableFuture.completedFuture(null)
                : logCatchUp.catchUp().handleAsync(this::requireCaughtUp, context.loop()),
        context.loop());
  }

  private Void requireCaughtUp(Void done, Throwable failure) {
    if (failure != null) {
      throw JobIntake.undecided();
    }
    return null;
  }

  private void requireAccepted(String jobId) {
    if (!isAccepted(jobId)) {
      context.metrics().counter("batch.submissions.void").inc();
      context.decisions().log("submission-void", field("job", jobId));
      throw BatchContext.unavailable("the job was cancelled before it was accepted");
    }
  }

  // An earlier attempt may have been accepted elsewhere since this host last read the log, so the
  // log is read to its end before the rejection says that the job does not run.
  private CompletableFuture<Void> rejectUnlessAccepted(
      BatchJob job, long readByNow, long deadlineMs) {
    return logCatchUp
        .catchUp()
        .thenComposeAsync(
            done -> {
              if (isAccepted(job.id())) {
                return CompletableFuture.completedFuture(null);
              }
              Optional<Refusal> refusal = rejection(job);
              return refusal.isPresent()
                  ? CompletableFuture.failedFuture(refusal.get())
                  : accept(job, readByNow, deadlineMs);
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
    CompletableFuture<Void> ended = recordWaiters.await(LogKey.end(jobId), waitMs);
    follower.endPause();
    return ended.thenApply(done -> summary(jobId));
  }

  /** Requests the cancellation of a job, see {@link BatchHost#cancel}. */
  CompletableFuture<Boolean> cancel(
      String jobId, CancelScope scope, Consumer<JobSummary> permission, long deadlineMs) {
    return findInLog(jobId)
        .thenComposeAsync(
            found -> cancel(jobId, found, scope, permission, deadlineMs), context.loop());
  }

  // A submission that is still being appended is cancelled behind it.
  private CompletableFuture<Boolean> cancel(
      String jobId,
      Optional<JobSummary> found,
      CancelScope scope,
      Consumer<JobSummary> permission,
      long deadlineMs) {
    Optional<JobSummary> known =
        found.or(() -> intake.undecidedJob(jobId).map(JobCalls::undecidedSummary));
    known.ifPresent(permission);
    if (known.isEmpty() || replica.table().job(jobId).filter(JobRecord::isVoid).isPresent()) {
      return cancelUnknown(jobId, scope, permission, deadlineMs);
    }
    if (known.get().state().ended()) {
      return CompletableFuture.completedFuture(true);
    }
    return intake
        .cancel(jobId, Optional.empty(), deadlineMs)
        .thenCompose(done -> catchUpAfterWrite());
  }

  // Other hosts may still append a submission of the job that they took in before this call. The
  // cancellation stands before or behind it in the log and applies to it either way.
  private CompletableFuture<Boolean> cancelUnknown(
      String jobId, CancelScope scope, Consumer<JobSummary> permission, long deadlineMs) {
    unknownCancellations.requireRoom(jobId, scope);
    return intake
        .cancel(jobId, Optional.of(scope), deadlineMs)
        .thenCompose(done -> catchUpAfterWrite())
        .thenApplyAsync(
            done -> {
              Optional<JobSummary> appended = summary(jobId);
              appended.ifPresent(permission);
              return appended.isPresent();
            },
            context.loop());
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
