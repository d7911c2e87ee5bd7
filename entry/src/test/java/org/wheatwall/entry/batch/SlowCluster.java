package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.task.TaskPlan;

/** Many workers and jobs, and hosts on which each look at a long queue takes time. */
final class SlowCluster {
  private static final int HOSTS = 4;
  private static final int WORKERS = 80;
  private static final int ACCELERATORS = 8;
  private static final int LEASE_MS = 6000;
  private static final int SUBMIT_TIMEOUT_MS = 5000;

  private final long seed;
  private final VirtualTime time;
  private final SimulatedStore store;
  private final SimulatedWorkers workers;
  private final StuckJobsCheck stuckJobsCheck;
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private int jobs;

  /**
   * Creates a cluster that is down.
   *
   * @param costs what work takes on its hosts
   */
  SlowCluster(long seed, SimulatedProcessor.Costs costs) {
    this.seed = seed;
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers =
        new SimulatedWorkers(time, WORKERS, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
    stuckJobsCheck = new StuckJobsCheck(time, workers);
    SimulatedPeers peers = new SimulatedPeers(time);
    SimulatedProcessor.CostModel speed =
        new SimulatedProcessor.CostModel(costs, stuckJobsCheck::waitingTasks);
    for (int i = 0; i < HOSTS; i++) {
      SimulatedHost host =
          new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of());
      host.setCostModel(speed);
      hosts.add(host);
    }
  }

  void start() {
    hosts.forEach(SimulatedHost::start);
  }

  /** Lets each call to the store take up to twice some time. */
  void setStoreLatencyMs(int ms) {
    store.setLatencyMs(ms);
  }

  /** Sends a job of one task at some time from now. */
  void submitLater(long delayMs, int workMs) {
    time.after(delayMs, () -> submit(job(workMs, Optional.empty())));
  }

  /** Sends a job that no worker can run at some time from now. */
  void submitInfeasibleLater(long delayMs) {
    time.after(delayMs, () -> submit(job(1, Optional.of("label of no worker"))));
  }

  private void submit(BatchJob job) {
    SimulatedHost host = hosts.get(time.random().nextInt(HOSTS));
    if (!host.isAlive()) {
      return;
    }
    host.batch()
        .submit(job, time.nowMs() + SUBMIT_TIMEOUT_MS)
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                stuckJobsCheck.addJob(job);
              }
            });
  }

  private BatchJob job(int workMs, Optional<String> label) {
    TaskPlan plan = new TaskPlan(workMs, 1, 1, 0);
    StepSpec step =
        new StepSpec(
            1,
            new ResourceAmount(1000, 100, 1),
            workMs,
            List.of(),
            false,
            false,
            false,
            label,
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    return new BatchJob(
        String.format("%016x", seed * 100_000 + jobs++),
        "queue",
        "service",
        "workspace",
        plan.text(),
        List.of(step),
        Optional.empty(),
        1,
        4,
        time.nowMs());
  }

  void runFor(long ms) {
    time.runFor(ms);
  }

  /** Runs on, and looks for jobs that stand meanwhile though they need not. */
  void runCheckingFor(long ms) {
    stuckJobsCheck.checkFor(ms);
    time.runFor(ms);
  }

  /** Returns which jobs stood though they need not have. */
  List<StuckJobsCheck.LostJob> stuckJobs() {
    return stuckJobsCheck.stuckJobs();
  }

  /** Returns how many tasks wait. */
  int waitingTasks() {
    return stuckJobsCheck.waitingTasks();
  }

  List<String> violations() {
    return workers.ledger().violations();
  }
}
