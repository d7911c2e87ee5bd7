package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.batch.log.LogWriter;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * Appends submitted jobs, cancellations and this host's own record to the job log. A record that
 * the log does not accept in time is abandoned: the submitter is refused at once and retries.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobIntake {
  /**
   * Milliseconds after which a record is abandoned. This is longer than an append takes at a store
   * that is 60 times slower than usual, and leaves a refused caller time to be served by another
   * host.
   */
  static final int APPEND_TIMEOUT_MS = 900;

  // Longer than any caller waits. A cancellation of a job that is not known is kept for longer, so
  // that no submission before it is appended after it was dropped.
  private static final int MAX_UNDECIDED_MS = 60_000;

  private final String producerPrefix;
  private final KeyedLog log;
  private final BatchContext context;
  private final Map<String, PendingSubmission> pendingByJob = new HashMap<>();
  private LogWriter writer;
  private int writers;

  /** A submission whose caller waits. */
  private record PendingSubmission(BatchJob job, CompletableFuture<Void> appended) {}

  /**
   * Creates the intake.
   *
   * @param producerPrefix prefix of the producer names under which it appends, different from that
   *     of any other process
   */
  JobIntake(String producerPrefix, KeyedLog log, BatchContext context) {
    this.producerPrefix = producerPrefix;
    this.log = log;
    this.context = context;
    this.writer = newWriter();
  }

  /**
   * Appends a job; calls for the same job share one record as long as it may be appended. Fails
   * with a {@link Refusal}: UNAVAILABLE if the job was not accepted and never runs, UNKNOWN if that
   * is not known.
   *
   * @param readOffset offset up to which this host had read the log when the call arrived
   */
  CompletableFuture<Void> accept(BatchJob job, long readOffset, long deadlineMs) {
    PendingSubmission pending = pendingByJob.get(job.id());
    if (pending != null) {
      return pending.appended();
    }
    CompletableFuture<Void> appended =
        awaitEarlierAttempt(job.id(), deadlineMs)
            .orElseGet(
                () ->
                    append(
                        LogEntry.of(
                            LogKey.job(job.id()),
                            new LogContent.Definition(job, OptionalLong.of(readOffset))),
                        deadlineMs));
    pendingByJob.put(job.id(), new PendingSubmission(job, appended));
    appended.whenComplete((done, failure) -> pendingByJob.remove(job.id()));
    return appended;
  }

  /**
   * Returns a job that waits to be sent to the log, or was sent and the log has not answered: it
   * may be accepted at any time, also after its submitter was told that this is not known.
   */
  Optional<BatchJob> undecidedJob(String jobId) {
    return Optional.ofNullable(pendingByJob.get(jobId))
        .map(PendingSubmission::job)
        .or(() -> sentJob(jobId));
  }

  private Optional<BatchJob> sentJob(String jobId) {
    return writer
        .inFlight(LogKey.job(jobId).text())
        .flatMap(record -> JobLogCodec.decode(record.key(), record.value()))
        .flatMap(LogEntry::content)
        .map(content -> ((LogContent.Definition) content).job());
  }

  /** Returns the refusal of a call about a job that is undecided. */
  static Refusal undecided() {
    return new Refusal(
        RefusalKind.UNKNOWN,
        "an earlier attempt to submit the job is still being appended to the job log",
        "repeat with the same identifier; it remains one job");
  }

  private Optional<CompletableFuture<Void>> awaitEarlierAttempt(String jobId, long deadlineMs) {
    Optional<CompletableFuture<Void>> earlier =
        writer.awaitInFlight(LogKey.job(jobId).text(), appendDeadlineMs(deadlineMs));
    earlier.ifPresent(outcome -> context.decisions().log("submission-joined", field("job", jobId)));
    return earlier.map(JobIntake::withRefusals);
  }

  /**
   * Appends the cancellation of a job, behind all records of it that this host has sent; fails as
   * {@link #accept} does.
   *
   * @param scope whose jobs it applies to if the job is not known; empty if it is
   */
  CompletableFuture<Void> cancel(String jobId, Optional<CancelScope> scope, long deadlineMs) {
    LogContent.Cancellation content = new LogContent.Cancellation(context.clock().wallMs(), scope);
    return append(LogEntry.of(LogKey.cancel(jobId), content), deadlineMs);
  }

  /**
   * Appends the address at which this host accepts calls of other entry hosts; fails as {@link
   * #accept} does.
   */
  CompletableFuture<Void> announceHost(String host, LogContent.Host content) {
    return append(LogEntry.of(LogKey.host(host), content), Long.MAX_VALUE);
  }

  /** Resends unacknowledged records at once, now that the log responds again. */
  void logRecovered() {
    closeWriterIfStalled();
    writer.resend();
  }

  /** Abandons the records whose deadline has passed. */
  void expire() {
    writer.expire();
    closeWriterIfStalled();
  }

  // Nobody waits any longer for what it sends, and others may have cancelled it.
  private void closeWriterIfStalled() {
    if (!writer.isClosed() && writer.isStalledFor(MAX_UNDECIDED_MS)) {
      context.decisions().log("submissions-abandoned", field("intake", writers - 1));
      context.metrics().counter("batch.submissions.abandoned").inc();
      writer.close("its records have not been decided for " + MAX_UNDECIDED_MS + " ms");
    }
  }

  private CompletableFuture<Void> append(LogEntry entry, long deadlineMs) {
    if (writer.isClosed()) {
      context.decisions().log("intake-renewed", field("intake", writers));
      writer = newWriter();
    }
    KeyedRecord record = new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry));
    return withRefusals(writer.append(List.of(record), appendDeadlineMs(deadlineMs)));
  }

  private static CompletableFuture<Void> withRefusals(CompletableFuture<Void> appended) {
    return appended.exceptionally(
        failure -> {
          throw refusal(LogFailure.of(failure));
        });
  }

  private long appendDeadlineMs(long deadlineMs) {
    return Math.min(deadlineMs, context.clock().nowMs() + APPEND_TIMEOUT_MS);
  }

  private LogWriter newWriter() {
    String producer = producerPrefix + "-" + writers++;
    return new LogWriter(
        log,
        producer,
        1,
        0,
        context.loop(),
        context.timer(),
        context.clock(),
        sentMs -> {},
        MAX_UNDECIDED_MS);
  }

  private static Refusal refusal(LogFailure failure) {
    return switch (failure.kind()) {
      case NOT_DONE -> BatchContext.unavailable(failure.getMessage());
      default ->
          new Refusal(
              RefusalKind.UNKNOWN,
              "whether the job log has it is not known: " + failure.getMessage(),
              "repeat with the same identifier; it remains one job");
    };
  }
}
