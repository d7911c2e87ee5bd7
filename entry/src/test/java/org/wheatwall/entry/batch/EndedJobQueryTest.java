package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.TaskName;

/**
 * A query sent at the moment when the last task of a job ends must report the end. A host that
 * responds at once from the log read so far reports "running", and the caller learns of the end
 * only with its next poll, 250 ms later.
 */
final class EndedJobQueryTest {
  private static final int HOSTS = 3;
  private static final int WORK_MS = 2000;
  private static final int JOBS = 40;
  private static final int POLL_INTERVAL_MS = 250;
  private static final int USUAL_LATENCY_MS = 4;

  private final VirtualTime time = new VirtualTime(7);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 8, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final List<Long> reportDelaysMs = new ArrayList<>();

  private void startHosts(int storeLatencyMs) {
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, 6000, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(3000);
    store.setLatencyMs(storeLatencyMs);
  }

  private void submit(int number) {
    String id = String.format("%016x", number);
    SimulatedHost host = hosts.get(number % HOSTS);
    host.batch()
        .submit(SimulatedJobs.singleTask(id, WORK_MS, 1, 0, time.nowMs()), time.nowMs() + 2000)
        .exceptionally(failure -> null);
    queryOnceEnded(id, number);
  }

  // Checks the workers each millisecond, and queries the state once the task has ended there.
  private void queryOnceEnded(String id, int number) {
    TaskName task = new TaskName(id, 0, 0, 0);
    boolean ended =
        workers.ledger().events().stream()
            .anyMatch(event -> event.task().equals(task) && !event.isStart());
    if (ended) {
      query(id, number, time.nowMs());
    } else {
      time.after(1, () -> queryOnceEnded(id, number));
    }
  }

  private void query(String id, int number, long endedAtMs) {
    SimulatedHost host = hosts.get((number + 1) % HOSTS);
    CompletableFuture<Optional<BatchHost.JobSummary>> found =
        host.batch().findOrAwaitEnd(id, time.nowMs() + 1000);
    found.thenAccept(
        summary -> {
          if (summary.orElseThrow().state() == BatchState.SUCCEEDED) {
            reportDelaysMs.add(time.nowMs() - endedAtMs);
          } else {
            time.after(POLL_INTERVAL_MS, () -> query(id, number, endedAtMs));
          }
        });
  }

  private long ninetiethPercentileMs() {
    assertThat(reportDelaysMs).hasSize(JOBS);
    return reportDelaysMs.stream().sorted().skip(JOBS * 9 / 10 - 1L).findFirst().orElseThrow();
  }

  private void run(int storeLatencyMs) {
    startHosts(storeLatencyMs);
    for (int i = 0; i < JOBS; i++) {
      int number = i;
      time.after(137L * i, () -> submit(number));
    }
    time.runFor(137L * JOBS + WORK_MS + 10_000);
  }

  // Hosts that responded at once reported all ends 250 ms late.
  @Test
  void firstResponseAfterTheEndReportsIt() {
    run(USUAL_LATENCY_MS);
    assertWithMessage(reportDelaysMs.toString()).that(ninetiethPercentileMs()).isAtMost(60L);
  }

  @Test
  void slowLogDelaysTheResponseOnlyByItsLatency() {
    run(USUAL_LATENCY_MS * 20);
    assertWithMessage(reportDelaysMs.toString()).that(ninetiethPercentileMs()).isAtMost(300L);
  }

  // The job does not end, so the response is sent when the host's wait is over, and not later.
  @Test
  void unfinishedJobIsReportedAsRunningAfterTheWait() {
    startHosts(USUAL_LATENCY_MS);
    String id = String.format("%016x", 1);
    hosts
        .get(0)
        .batch()
        .submit(SimulatedJobs.singleTask(id, WORK_MS, 1, 0, time.nowMs()), time.nowMs() + 2000);
    time.runFor(1000);
    CompletableFuture<Optional<BatchHost.JobSummary>> found =
        hosts.get(1).batch().findOrAwaitEnd(id, time.nowMs() + 1000);
    time.runFor(290);
    assertThat(found.isDone()).isFalse();
    time.runFor(30);
    assertThat(found.join().orElseThrow().state()).isEqualTo(BatchState.RUNNING);
  }

  @Test
  void queryIsAnsweredWithinAShortDeadline() {
    startHosts(USUAL_LATENCY_MS);
    String id = String.format("%016x", 1);
    hosts
        .get(0)
        .batch()
        .submit(SimulatedJobs.singleTask(id, WORK_MS, 1, 0, time.nowMs()), time.nowMs() + 2000);
    time.runFor(1000);
    CompletableFuture<Optional<BatchHost.JobSummary>> found =
        hosts.get(1).batch().findOrAwaitEnd(id, time.nowMs() + 40);
    time.runFor(45);
    assertThat(found.isDone()).isTrue();
  }
}
