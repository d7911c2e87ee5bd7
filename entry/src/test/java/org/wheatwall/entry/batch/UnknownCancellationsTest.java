package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;

/**
 * Callers cannot fill the memory of all hosts by cancelling jobs whose identifiers they make up.
 */
final class UnknownCancellationsTest {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final CancelScope FIRST = new CancelScope("first", Optional.empty());
  private static final CancelScope SECOND = new CancelScope("second", Optional.empty());

  private final VirtualTime time = new VirtualTime(1);
  private final MetricRegistry metrics = new MetricRegistry();
  private final JobTable table = new JobTable();
  private final UnknownCancellations cancellations = cancellations();
  private int kept;

  private UnknownCancellations cancellations() {
    Clock clock = new MachineClock(() -> time.nowMs() * NANOS_PER_MS, time::nowMs);
    return new UnknownCancellations(
        new BatchContext(Runnable::run, time::after, clock, new DecisionLog(clock), metrics));
  }

  private void cancel(CancelScope scope) {
    String id = SimulatedJobs.id(++kept);
    cancellations.requireRoom(id, scope);
    LogContent.Cancellation content = new LogContent.Cancellation(0, Optional.of(scope));
    table.apply(LogEntry.of(LogKey.cancel(id), content), kept);
    cancellations.onChange(id, table.record(id));
  }

  @Test
  void oneWorkspaceMayFillHalfAndAnotherStillCancels() {
    for (int i = 0; i < 5000; i++) {
      cancel(FIRST);
    }
    Refusal refusal = assertThrows(Refusal.class, () -> cancel(FIRST));
    assertThat(refusal.kind()).isEqualTo(RefusalKind.LIMIT);
    assertThat(refusal.retryAfterSeconds().getAsInt()).isGreaterThan(0);
    assertThat(metrics.counter("batch.cancellations.refused").getCount()).isEqualTo(1);
    cancel(SECOND);
    table.apply(LogEntry.tombstone(LogKey.cancel(SimulatedJobs.id(1))), kept + 1);
    cancellations.onChange(SimulatedJobs.id(1), table.record(SimulatedJobs.id(1)));
    cancellations.onChange(SimulatedJobs.id(2), Optional.empty());
    cancel(FIRST);
  }
}
