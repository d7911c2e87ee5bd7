package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;

/**
 * Guards against tasks that start in an availability zone that the operator evacuates: because a
 * host does not know of it, has forgotten it after a change of the term or a restart, or acts on an
 * earlier state after it was frozen or partitioned.
 */
final class EvacuationTest {
  private static final int HOSTS = 4;
  private static final int WORKERS = 12;
  private static final int ZONES = 3;
  private static final int ACCELERATORS = 8;
  private static final int LEASE_MS = 6000;
  private static final int WORK_MS = 700;
  private static final int JOB_INTERVAL_MS = 100;
  private static final int SETTLING_MS = 4000;
  private static final int EVACUATION_MS = 20_000;
  private static final int FREEZE_MS = 8000;
  private static final int RECOVERY_MS = 30_000;
  private static final int SEEDS = 20;
  private static final List<String> ALL_ZONES = List.of("zone0", "zone1", "zone2");

  private final List<SimulatedHost> hosts = new ArrayList<>();
  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;
  private SimulatedOperator operator;
  private int jobs;
  private boolean submitting;

  private void startCluster(long seed) {
    hosts.clear();
    jobs = 0;
    submitting = true;
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers =
        new SimulatedWorkers(
            time, WORKERS, ZONES, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
    operator = new SimulatedOperator(time, store);
    workers.setOperator(operator);
    SimulatedPeers peers = new SimulatedPeers(time);
    for (int i = 0; i < HOSTS; i++) {
      SimulatedHost host =
          new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of());
      host.setOperator(operator);
      hosts.add(host);
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(SETTLING_MS);
    submitPeriodically();
    time.runFor(SETTLING_MS);
  }

  private void submitPeriodically() {
    SimulatedHost host = hosts.get(time.random().nextInt(HOSTS));
    if (host.isAlive()) {
      boolean gang = time.random().nextBoolean();
      String id = SimulatedJobs.id(++jobs);
      BatchJob job =
          gang
              ? SimulatedJobs.gang(id, 1 + time.random().nextInt(4), WORK_MS, 1, time.nowMs())
              : SimulatedJobs.singleTask(id, WORK_MS, 1, 1, time.nowMs());
      host.batch().submit(job, time.nowMs() + 2000);
    }
    if (submitting) {
      time.after(JOB_INTERVAL_MS, this::submitPeriodically);
    }
  }

  private SimulatedHost termHolder() {
    return hosts.stream().max(Comparator.comparingLong(store::confirmedAtMs)).orElseThrow();
  }

  private long startsIn(String zone) {
    return workers.ledger().events().stream()
        .filter(event -> event.isStart() && workers.zoneOfIdentifier(event.worker()).equals(zone))
        .count();
  }

  private void checkViolations(long seed) {
    assertWithMessage("seed " + seed).that(workers.ledger().violations()).isEmpty();
  }

  @Test
  void nothingStartsInAnEvacuatedZoneUntilItIsRestored() {
    startCluster(1);
    operator.evacuate("zone1");
    time.runFor(1500);
    long startsBefore = startsIn("zone1");
    time.runFor(EVACUATION_MS);
    assertThat(startsIn("zone1")).isEqualTo(startsBefore);
    assertThat(startsIn("zone0")).isGreaterThan(0);
    operator.restore("zone1");
    time.runFor(SETTLING_MS);
    assertThat(startsIn("zone1")).isGreaterThan(startsBefore);
    checkViolations(1);
  }

  @Test
  void anEvacuationIsKnownToTheNextTermAndAfterARestart() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed);
      operator.evacuate("zone2");
      time.runFor(1 + time.random().nextInt(SETTLING_MS));
      SimulatedHost holder = termHolder();
      holder.kill();
      time.runFor(SETTLING_MS);
      hosts.stream().filter(SimulatedHost::isAlive).forEach(SimulatedHost::kill);
      hosts.forEach(SimulatedHost::start);
      time.runFor(EVACUATION_MS);
      checkViolations(seed);
    }
  }

  @Test
  void aHostThatWasFrozenOrPartitionedDoesNotStartTasksThere() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed);
      SimulatedHost holder = termHolder();
      long freezeInMs = time.random().nextInt(2000);
      time.after(freezeInMs, () -> holder.freeze(FREEZE_MS));
      time.after(time.random().nextInt(2000), () -> operator.evacuate("zone0"));
      SimulatedHost other = hosts.get(time.random().nextInt(HOSTS));
      time.after(FREEZE_MS, () -> store.setPartitioned(other, true));
      time.after(FREEZE_MS + 6000, () -> store.setPartitioned(other, false));
      time.runFor(EVACUATION_MS);
      checkViolations(seed);
    }
  }

  // Jobs that can run nowhere wait and are not given up.
  @Test
  void jobsWaitWhileAllZonesAreEvacuatedAndRunAfterwards() {
    startCluster(1);
    ALL_ZONES.forEach(operator::evacuate);
    operator.evacuate("zone of no worker");
    time.runFor(EVACUATION_MS);
    checkViolations(1);
    operator.restore("zone1");
    operator.evacuate("zone1");
    time.runFor(EVACUATION_MS);
    checkViolations(1);
    ALL_ZONES.forEach(operator::restore);
    submitting = false;
    time.runFor(RECOVERY_MS);
    for (int i = 1; i <= jobs; i++) {
      String id = SimulatedJobs.id(i);
      assertWithMessage("job " + id + explain(id)).that(stateOf(id)).hasValue(BatchState.SUCCEEDED);
    }
  }

  private String explain(String id) {
    List<CompletableFuture<List<String>>> lines =
        hosts.stream().map(host -> host.batch().explain(id)).toList();
    time.runFor(100);
    return lines.stream().map(CompletableFuture::join).toList().toString();
  }

  private Optional<BatchState> stateOf(String id) {
    CompletableFuture<Optional<BatchHost.JobSummary>> found = hosts.get(0).batch().find(id);
    time.runFor(100);
    return found.join().map(BatchHost.JobSummary::state);
  }
}
