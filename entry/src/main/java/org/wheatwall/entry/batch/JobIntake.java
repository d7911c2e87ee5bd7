package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.BatchJob;
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
 * Writes what submitters hand in to the job log. What the log has not taken soon is given up: the
 * submitter is told at once and comes back.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobIntake {
  /**
   * Milliseconds after which a record is given up. Longer than an append takes at a store that is
   * 60 times slower than usual; a caller that is answered after this time can still be served by
   * another host.
   */
  static final int GIVE_UP_MS = 900;

  private final String producerPrefix;
  private final KeyedLog log;
  private final BatchTools tools;
  private final Map<String, CompletableFuture<Void>> accepting = new HashMap<>();
  private LogWriter writer;
  private int writers;

  /**
   * Creates the intake.
   *
   * @param producerPrefix begins the names under which it appends, unlike that of any other process
   */
  JobIntake(String producerPrefix, KeyedLog log, BatchTools tools) {
    this.producerPrefix = producerPrefix;
    this.log = log;
    this.tools = tools;
    this.writer = newWriter();
  }

  /**
   * Writes a job down; calls for a job that is being written share one record. Fails with a {@link
   * Refusal}: UNAVAILABLE if it was not taken and never runs, UNKNOWN if that is not known.
   */
  CompletableFuture<Void> accept(BatchJob job, long deadlineMs) {
    CompletableFuture<Void> known = accepting.get(job.id());
    if (known != null) {
      return known;
    }
    CompletableFuture<Void> kept =
        keep(LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)), deadlineMs);
    accepting.put(job.id(), kept);
    kept.whenComplete((done, failure) -> accepting.remove(job.id()));
    return kept;
  }

  /** Writes down that a job is to be cancelled; fails as {@link #accept} does. */
  CompletableFuture<Void> cancel(String jobId, long deadlineMs) {
    LogContent.Cancellation content = new LogContent.Cancellation(tools.clock().wallMs());
    return keep(LogEntry.of(LogKey.cancel(jobId), content), deadlineMs);
  }

  /**
   * Writes down where this host takes calls of other entry hosts; fails as {@link #accept} does.
   */
  CompletableFuture<Void> announce(String host, LogContent.Host content) {
    return keep(LogEntry.of(LogKey.host(host), content), Long.MAX_VALUE);
  }

  /** Writes at once what the log has not acknowledged, now that it answers again. */
  void logRegained() {
    writer.resend();
  }

  /** Gives up what is due. */
  void expire() {
    writer.expire();
  }

  private CompletableFuture<Void> keep(LogEntry entry, long deadlineMs) {
    if (writer.closed()) {
      tools.decisions().note("intake-renewed", field("intake", writers));
      writer = newWriter();
    }
    KeyedRecord record = new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry));
    long giveUpMs = Math.min(deadlineMs, tools.clock().nowMs() + GIVE_UP_MS);
    return writer
        .append(List.of(record), giveUpMs)
        .exceptionally(
            failure -> {
              throw refusal(LogFailure.of(failure));
            });
  }

  private LogWriter newWriter() {
    String producer = producerPrefix + "-" + writers++;
    return new LogWriter(
        log, producer, 1, 0, tools.loop(), tools.timer(), tools.clock(), sentMs -> {});
  }

  private static Refusal refusal(LogFailure failure) {
    return switch (failure.kind()) {
      case NOT_DONE -> BatchTools.unavailable(failure.getMessage());
      default ->
          new Refusal(
              RefusalKind.UNKNOWN,
              "whether the job log has it is not known: " + failure.getMessage(),
              "repeat with the same identifier; it remains one job");
    };
  }
}
