package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobMemory;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;

/** A job that cannot be held is refused before it is accepted, with a time to return. */
final class JobMemoryLimitTest {
  private static final long NANOS_PER_MS = 1_000_000;

  private final VirtualTime time = new VirtualTime(1);
  private final MetricRegistry metrics = new MetricRegistry();
  private final BatchJob first = SimulatedJobs.singleTask(SimulatedJobs.id(1), 1, 1, 1, 0);
  private final BatchJob second = SimulatedJobs.singleTask(SimulatedJobs.id(2), 1, 1, 1, 0);
  private final JobTable table = new JobTable();
  private final JobMemoryLimit limit = limit(2 * JobMemory.bytesOf(first));

  private JobMemoryLimit limit(long bytes) {
    Clock clock = new MachineClock(() -> time.nowMs() * NANOS_PER_MS, time::nowMs);
    BatchContext context =
        new BatchContext(Runnable::run, time::after, clock, new DecisionLog(clock), metrics);
    return new JobMemoryLimit(new JobMemory(bytes), context);
  }

  @Test
  void jobBeyondTheLimitIsRefusedWithATimeToReturnAndCounted() {
    assertThat(limit.check(first)).isEmpty();
    table.apply(LogEntry.of(LogKey.job(first.id()), new LogContent.Definition(first)), 0);
    limit.onJob(table.job(first.id()).get());
    Optional<Refusal> refusal = limit.check(second);
    assertThat(refusal.get().kind()).isEqualTo(RefusalKind.LIMIT);
    assertThat(refusal.get().retryAfterSeconds().getAsInt()).isGreaterThan(0);
    assertThat(metrics.counter("batch.jobs.refused-for-memory").getCount()).isEqualTo(1);
    limit.onJobDropped(first.id());
    assertThat(limit.check(second)).isEmpty();
  }
}
