package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.common.Clock;

/** A call for a record that the log does not accept fails soon, with the matching refusal kind. */
final class JobIntakeTest {
  private static final long FAR_DEADLINE_MS = 20_000;
  private static final int MARGIN_MS = 50;

  private final VirtualTime time = new VirtualTime(1);
  private final ManualLog log = new ManualLog();
  private final JobIntake intake =
      new JobIntake(
          "test",
          log,
          new BatchContext(
              Runnable::run, time::after, clock(), new DecisionLog(clock()), new MetricRegistry()));

  /** Holds each call until the test completes it, or rejects all calls. */
  private static final class ManualLog implements KeyedLog {
    private final List<CompletableFuture<Appended>> calls = new ArrayList<>();
    private boolean rejectsCalls;

    @Override
    public CompletableFuture<Appended> append(AppendCall call) {
      CompletableFuture<Appended> response = new CompletableFuture<>();
      calls.add(response);
      if (rejectsCalls) {
        response.completeExceptionally(new LogFailure(LogFailure.Kind.NOT_DONE, "overloaded"));
      }
      return response;
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int waitMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<NewestPage> newest(Optional<String> afterKey) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Long> end() {
      throw new UnsupportedOperationException();
    }
  }

  private Clock clock() {
    return new Clock() {
      @Override
      public long nowMs() {
        return time.nowMs();
      }

      @Override
      public long wallMs() {
        return time.nowMs();
      }
    };
  }

  private CompletableFuture<Void> accept() {
    BatchJob job = SimulatedJobs.singleTask(SimulatedJobs.id(1), 1000, 1, 0, time.nowMs());
    return intake.accept(job, 0, time.nowMs() + FAR_DEADLINE_MS);
  }

  private CompletableFuture<Void> cancel() {
    return intake.cancel("00000000000000a1", Optional.empty(), time.nowMs() + FAR_DEADLINE_MS);
  }

  private static RefusalKind refusalKind(CompletableFuture<Void> result) {
    try {
      result.join();
      throw new AssertionError("the call succeeded");
    } catch (CompletionException failure) {
      return ((Refusal) failure.getCause()).kind();
    }
  }

  @Test
  void unansweredCallFailsLongBeforeItsDeadline() {
    CompletableFuture<Void> sent = cancel();
    time.runFor(JobIntake.APPEND_TIMEOUT_MS - MARGIN_MS);
    assertThat(sent.isDone()).isFalse();
    time.runFor(2 * MARGIN_MS);
    assertThat(sent.isDone()).isTrue();
    assertThat(refusalKind(sent)).isEqualTo(RefusalKind.UNKNOWN);
  }

  @Test
  void unsentCallFailsAsUnavailable() {
    CompletableFuture<Void> sent = cancel();
    CompletableFuture<Void> queued = cancel();
    time.runFor(JobIntake.APPEND_TIMEOUT_MS + MARGIN_MS);
    assertThat(log.calls).hasSize(1);
    assertThat(refusalKind(sent)).isEqualTo(RefusalKind.UNKNOWN);
    assertThat(refusalKind(queued)).isEqualTo(RefusalKind.UNAVAILABLE);
  }

  @Test
  void callRejectedByTheLogFailsAsUnavailable() {
    log.rejectsCalls = true;
    CompletableFuture<Void> sent = cancel();
    time.runFor(JobIntake.APPEND_TIMEOUT_MS + MARGIN_MS);
    assertThat(log.calls.size()).isAtLeast(2);
    assertThat(refusalKind(sent)).isEqualTo(RefusalKind.UNAVAILABLE);
  }

  @Test
  void callAnsweredInTimeSucceeds() {
    CompletableFuture<Void> sent = cancel();
    log.calls.get(0).complete(new KeyedLog.Appended(0));
    sent.join();
  }

  // Guards against a repeat that is acknowledged because the record before it was abandoned.
  @Test
  void repeatIsNotAcknowledgedWithoutARecordOfTheJob() {
    CompletableFuture<Void> first = accept();
    time.runFor(JobIntake.APPEND_TIMEOUT_MS + MARGIN_MS);
    assertThat(refusalKind(first)).isEqualTo(RefusalKind.UNKNOWN);
    CompletableFuture<Void> repeat = accept();
    log.calls.get(0).completeExceptionally(new LogFailure(LogFailure.Kind.NOT_DONE, "overloaded"));
    time.runFor(MARGIN_MS);
    assertThat(repeat.isDone()).isFalse();
    log.calls.get(1).complete(new KeyedLog.Appended(0));
    repeat.join();
  }
}
