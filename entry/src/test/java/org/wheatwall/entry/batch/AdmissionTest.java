package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.core.job.model.SpeedAwareSettings;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/**
 * Every entry host rejects jobs that could not end in time, by its own replica of the job log and
 * the capacity that the decider publishes, and accepts all jobs while it does not know that
 * capacity. One worker of 8 accelerators; jobs of 2 s whose results are of use for 6 s.
 */
final class AdmissionTest {
  private static final int WORK_MS = 2000;
  private static final int ACCELERATORS = 8;
  private static final int HIGH_PRIORITY = 1;
  private static final int LOW_PRIORITY = 2;
  private static final Objective OBJECTIVE = new Objective(1, 0);
  private static final SchedulingFeatures FEATURES =
      new SchedulingFeatures(
          SpeedAwareSettings.DISABLED,
          WorkspaceShareSettings.DISABLED,
          new AdmissionSettings(true, 3, 30));

  private final VirtualTime time = new VirtualTime(5);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 1, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private int submitted;

  AdmissionTest() {
    for (int i = 0; i < 3; i++) {
      SimulatedHost host =
          new SimulatedHost(time, "host-" + i, store, workers, peers, 6000, Set.of());
      host.setFeatures(FEATURES);
      host.start();
      hosts.add(host);
    }
    time.runFor(3000);
    String queue = SimulatedJobs.singleTask(SimulatedJobs.id(0), 1, 1, 1, 0).queue();
    hosts.forEach(
        host ->
            host.batch()
                .setRules(new SchedulingRules(Map.of(), Set.of(), Map.of(queue, OBJECTIVE))));
  }

  private CompletableFuture<Void> submitLow(SimulatedHost host) {
    return submit(host, SimulatedJobs.id(++submitted), LOW_PRIORITY);
  }

  private CompletableFuture<Void> submit(SimulatedHost host, String id, int priority) {
    CompletableFuture<Void> result =
        host.batch()
            .submit(
                SimulatedJobs.singleTask(id, WORK_MS, ACCELERATORS, priority, time.nowMs()),
                time.nowMs() + 2000);
    time.runFor(50);
    return result;
  }

  /** Fills the queue with high-priority work for some 40 s. */
  private void flood() {
    for (int i = 0; i < 20; i++) {
      submit(hosts.get(i % hosts.size()), SimulatedJobs.id(++submitted), HIGH_PRIORITY);
    }
    time.runFor(500);
  }

  private static Optional<Refusal> refusalOf(CompletableFuture<Void> result) {
    assertThat(result.isDone()).isTrue();
    try {
      result.join();
      return Optional.empty();
    } catch (CompletionException failure) {
      return Optional.of((Refusal) failure.getCause());
    }
  }

  @Test
  void everyHostRejectsAJobThatCannotEndInTimeAndSaysWhenToReturn() {
    flood();
    for (SimulatedHost host : hosts) {
      Refusal refusal = refusalOf(submitLow(host)).orElseThrow();
      assertWithMessage(host.name()).that(refusal.kind()).isEqualTo(RefusalKind.LIMIT);
      assertWithMessage(host.name()).that(refusal.retryAfterSeconds().isPresent()).isTrue();
    }
  }

  @Test
  void rejectedJobNeverRuns() {
    flood();
    String id = SimulatedJobs.id(1000);
    assertThat(refusalOf(submit(hosts.get(0), id, LOW_PRIORITY))).isPresent();
    time.runFor(60_000);
    assertThat(workers.ledger().events().stream().filter(event -> event.task().jobId().equals(id)))
        .isEmpty();
  }

  @Test
  void acceptedJobsAreKeptHoweverLongTheyWait() {
    flood();
    int accepted = submitted;
    time.runFor(120_000);
    for (int i = 1; i <= accepted; i++) {
      int number = i;
      CompletableFuture<Optional<BatchHost.JobSummary>> found =
          hosts.get(0).batch().find(SimulatedJobs.id(i));
      time.runFor(50);
      found
          .join()
          .ifPresent(
              summary ->
                  assertWithMessage("job " + number)
                      .that(summary.state())
                      .isEqualTo(BatchState.SUCCEEDED));
    }
  }

  @Test
  void jobThatAnotherHostHasAcceptedIsNotRejected() {
    flood();
    String id = SimulatedJobs.id(1);
    assertThat(refusalOf(submit(hosts.get(2), id, LOW_PRIORITY))).isEmpty();
  }

  @Test
  void jobsAreAcceptedAgainOnceTheBacklogIsServed() {
    flood();
    time.runFor(60_000);
    assertThat(refusalOf(submitLow(hosts.get(1)))).isEmpty();
  }

  // A host that was just started has read the whole log, but its record of the term is of unknown
  // age, and the next decider has not published the capacity yet.
  @Test
  void jobsAreAcceptedWhileTheCapacityIsNotKnown() {
    flood();
    hosts.forEach(SimulatedHost::kill);
    SimulatedHost restarted = hosts.get(0);
    restarted.start();
    time.runFor(200);
    CompletableFuture<Void> result = submitLow(restarted);
    time.runFor(1000);
    assertThat(refusalOf(result).map(Refusal::kind)).isNotEqualTo(Optional.of(RefusalKind.LIMIT));
  }
}
