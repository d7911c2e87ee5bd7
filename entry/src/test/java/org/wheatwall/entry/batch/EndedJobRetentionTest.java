package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Ended jobs stay known for the retention time, whatever the wall clocks of the hosts show. */
final class EndedJobRetentionTest {
  private static final int HOSTS = 3;
  private static final int JOBS = 120;
  private static final int WORK_MS = 1000;
  private static final int LEASE_MS = 6000;
  private static final int SETTLING_MS = 3000;
  private static final int ENDING_MS = 30_000;
  // Several sweeps of the decider.
  private static final int SWEEPS_MS = 30_000;

  private final VirtualTime time = new VirtualTime(3);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 16, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();

  private void startHosts() {
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(SETTLING_MS);
  }

  private void runJobs() {
    for (int number = 0; number < JOBS; number++) {
      hosts
          .get(number % HOSTS)
          .batch()
          .submit(
              SimulatedJobs.singleTask(SimulatedJobs.id(number), WORK_MS, 1, 0, time.nowMs()),
              time.nowMs() + SETTLING_MS);
    }
    time.runFor(ENDING_MS);
    assertThat(endedJobs()).isEqualTo(JOBS);
  }

  private int endedJobs() {
    int ended = 0;
    for (int number = 0; number < JOBS; number++) {
      CompletableFuture<Optional<BatchHost.JobSummary>> found =
          hosts.get(number % HOSTS).batch().find(SimulatedJobs.id(number));
      time.runFor(WORK_MS / 10);
      ended += found.join().filter(summary -> summary.state().ended()).isPresent() ? 1 : 0;
    }
    return ended;
  }

  private void stepAllWallClocks(long stepMs) {
    hosts.forEach(host -> host.stepWallClock(stepMs, SWEEPS_MS));
  }

  // Guards against jobs that are denied because the deciding host's time of day was set ahead.
  @Test
  void aWallClockThatIsSetDropsNoEndedJob() {
    startHosts();
    runJobs();
    for (long stepMs : new long[] {SimulatedHost.RETENTION_MS + 1, -SimulatedHost.RETENTION_MS}) {
      stepAllWallClocks(stepMs);
      time.runFor(SWEEPS_MS);
      assertWithMessage("step of %s ms", stepMs).that(endedJobs()).isEqualTo(JOBS);
    }
  }

  // Guards against jobs that are denied because the host that wrote their end had a slow clock.
  @Test
  void aDeciderWhoseClockIsAheadOfTheOneBeforeDropsNoEndedJob() {
    startHosts();
    stepAllWallClocks(-SimulatedHost.RETENTION_MS - 1);
    runJobs();
    time.runFor(SWEEPS_MS);
    assertThat(endedJobs()).isEqualTo(JOBS);
  }

  @Test
  void endedJobsAreDroppedAfterTheRetentionTimeThoughClocksAreSetBack() {
    startHosts();
    runJobs();
    stepAllWallClocks(-SimulatedHost.RETENTION_MS);
    time.runFor(SimulatedHost.RETENTION_MS + SWEEPS_MS);
    assertThat(endedJobs()).isEqualTo(0);
  }

  // A process that has just started does not know how long ago the jobs ended.
  @Test
  void aRestartOfAllHostsProlongsTheRetention() {
    startHosts();
    runJobs();
    time.runFor(SimulatedHost.RETENTION_MS / 2);
    hosts.forEach(SimulatedHost::kill);
    hosts.forEach(SimulatedHost::start);
    time.runFor(SimulatedHost.RETENTION_MS * 3 / 4);
    assertThat(endedJobs()).isEqualTo(JOBS);
    time.runFor(SimulatedHost.RETENTION_MS / 2);
    assertThat(endedJobs()).isEqualTo(0);
  }
}
