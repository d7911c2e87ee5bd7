package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.permit.PermitModel;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.wire.http.Problems;

/** Runs random jobs under random faults on a simulated cluster, reproducibly from a seed. */
final class BatchFaultSchedule {
  private static final int HOSTS = 4;
  private static final int WORKERS = 8;
  private static final int ACCELERATORS = 8;
  private static final int LEASE_MS = 6000;
  private static final int FAULT_PHASE_MS = 30_000;
  private static final int RECOVERY_PHASE_MS = 60_000;
  // Faults last up to 17 s, and partitioned workers are waited for 20 s beyond their leases.
  private static final int SETTLING_MS = 35_000;
  private static final int MAX_PATH_FAULT_MS = 12_000;
  private static final int MAX_EVACUATION_MS = 12_000;
  private static final int JOBS = 30;
  private static final String QUEUE = "queue";
  // A job may fail after two crashes of workers that ran one of its tasks.
  private static final int MIN_CRASHES_TO_FAIL = 2;

  private final long seed;
  private final VirtualTime time;
  private final SimulatedStore store;
  private final SimulatedWorkers workers;
  private final StuckJobsCheck stuckJobs;
  private final SweptTasksCheck sweptTasks = new SweptTasksCheck();
  private final boolean permitsNeeded;
  private final SimulatedPeers peers;
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final Map<String, String> submitOutcomes = new TreeMap<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  // Jobs whose cancellation was answered with "no such job".
  private final Set<String> deniedJobs = new HashSet<>();
  private final Set<String> crashingJobs = new HashSet<>();
  private int jobsPerCrashingJob;
  private int acceptancesPerPowerLoss;
  private int jobsPerCancellation = 8;
  private boolean otherFaults = true;

  BatchFaultSchedule(long seed, Optional<PermitModel> permits) {
    this.seed = seed;
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers = new SimulatedWorkers(time, WORKERS, ACCELERATORS, permits, store::confirmedAtMs);
    stuckJobs = new StuckJobsCheck(time, workers);
    permitsNeeded = permits.isPresent();
    peers = new SimulatedPeers(time);
    Set<String> permitQueues = permits.isPresent() ? Set.of(QUEUE) : Set.of();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(
          new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, permitQueues));
    }
  }

  /** Makes one in {@code jobs} jobs crash the workers of its tasks at each start. */
  void crashWorkersOfOneJobIn(int jobs) {
    jobsPerCrashingJob = jobs;
  }

  /** Injects no faults but those that are requested. */
  void injectNoOtherFaults() {
    otherFaults = false;
  }

  /** Cancels one in {@code jobs} jobs, instead of one in eight. */
  void cancelOneJobIn(int jobs) {
    jobsPerCancellation = jobs;
  }

  /** Cuts workers off from all hosts and from the store, which drops their entries meanwhile. */
  void cutOffWorkers(int times) {
    for (int i = 0; i < times; i++) {
      int worker = time.random().nextInt(WORKERS);
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      long durationMs = 500L + time.random().nextInt(MAX_PATH_FAULT_MS);
      addFault(delayMs, durationMs);
      time.after(delayMs, () -> workers.cutOff(worker, durationMs));
    }
  }

  /** Makes commands to workers late and their responses lost for short times. */
  void delayCommands(int times) {
    for (int i = 0; i < times; i++) {
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      long durationMs = 100L + time.random().nextInt(1500);
      addFault(delayMs, durationMs);
      time.after(delayMs, () -> workers.setLossProbability(0.7));
      time.after(delayMs + durationMs, () -> workers.setLossProbability(0));
    }
  }

  /** Kills the host that holds the term at random times; it starts again soon. */
  void killTermHolders(int times) {
    for (int i = 0; i < times; i++) {
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      addFault(delayMs, 1000);
      time.after(delayMs, this::killTermHolder);
    }
  }

  private void killTermHolder() {
    SimulatedHost holder =
        hosts.stream().max(Comparator.comparingLong(store::confirmedAtMs)).orElseThrow();
    if (holder.isAlive()) {
      holder.kill();
      time.after(1000, () -> startIfDown(holder));
    }
  }

  /** Makes workers restart under their previous identifier after a crash. */
  void reuseWorkerIdentifiers() {
    workers.reuseIdentifiers();
  }

  /** Makes delayed commands execute in a later incarnation of their worker. */
  void deliverLateCommandsToLaterIncarnations() {
    workers.deliverLateCommandsToLaterIncarnations();
  }

  /** Reduces the capacity of workers, which do not check it themselves, and restores it later. */
  void changeCapacity(int times) {
    workers.disableCapacityCheck();
    for (int i = 0; i < times; i++) {
      int worker = time.random().nextInt(WORKERS);
      long fromMs = time.random().nextInt(FAULT_PHASE_MS);
      int accelerators = time.random().nextInt(ACCELERATORS);
      time.after(fromMs, () -> workers.resize(worker, accelerators));
      long durationMs = 1000L + time.random().nextInt(FAULT_PHASE_MS / 2);
      time.after(fromMs + durationMs, () -> workers.resize(worker, ACCELERATORS));
    }
  }

  /** Crashes workers at random times; each restarts at once. */
  void restartWorkers(int times) {
    for (int i = 0; i < times; i++) {
      int worker = time.random().nextInt(WORKERS);
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      addFault(delayMs, 0);
      time.after(delayMs, () -> workers.restart(worker));
    }
  }

  /** Crashes workers at random times; each restarts some seconds later. */
  void crashWorkers(int times) {
    for (int i = 0; i < times; i++) {
      int worker = time.random().nextInt(WORKERS);
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      addFault(delayMs, SimulatedWorkers.MAX_DOWN_MS);
      time.after(delayMs, () -> workers.crash(worker));
    }
  }

  /** Suspends hosts at random times. */
  void suspendHosts(int times) {
    for (int i = 0; i < times; i++) {
      SimulatedHost host = randomHost();
      long durationMs = 300L + time.random().nextInt(9000);
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      addFault(delayMs, durationMs);
      time.after(delayMs, () -> host.suspend(durationMs));
    }
  }

  /** Steps the wall clocks of hosts at random times, and steps them back later. */
  void stepWallClocks(int times) {
    for (int i = 0; i < times; i++) {
      SimulatedHost host = randomHost();
      long durationMs = 300L + time.random().nextInt(9000);
      long stepMs = time.random().nextInt(6000) - 3000L;
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      addFault(delayMs, durationMs);
      time.after(delayMs, () -> host.stepWallClock(stepMs, durationMs));
    }
  }

  /** Makes all hosts lose power at once after one in {@code acceptances} accepted jobs. */
  void losePowerAfterOneAcceptanceIn(int acceptances) {
    acceptancesPerPowerLoss = acceptances;
  }

  // Power is lost at the same instant, or during the steps that follow the acceptance.
  private void onJobAccepted() {
    if (acceptancesPerPowerLoss > 0 && time.random().nextInt(acceptancesPerPowerLoss) == 0) {
      boolean isImmediate = time.random().nextBoolean();
      time.after(isImmediate ? 0 : time.random().nextInt(400), this::losePower);
    }
  }

  private void losePower() {
    addFault(0, 3500);
    hosts.forEach(SimulatedHost::kill);
    hosts.forEach(host -> time.after(500L + time.random().nextInt(3000), () -> startIfDown(host)));
  }

  private static void startIfDown(SimulatedHost host) {
    if (!host.isAlive()) {
      host.start();
    }
  }

  /** Partitions one random host after another, so that most hosts can reach each other. */
  void partitionHosts(int times) {
    long slotMs = FAULT_PHASE_MS / times;
    for (int i = 0; i < times; i++) {
      SimulatedHost host = randomHost();
      addFault(2000 + i * slotMs, slotMs);
      time.after(
          2000 + i * slotMs + time.random().nextLong(slotMs / 2), () -> setPartitioned(host, true));
      time.after(2000 + (i + 1) * slotMs, () -> setPartitioned(host, false));
    }
  }

  /**
   * Blocks the paths between some hosts and some workers, in one direction of the network only: the
   * hosts reach the log and each other. One of the paths may open and close meanwhile.
   */
  void blockPaths(int times) {
    for (int i = 0; i < times; i++) {
      int affectedHosts = 1 + time.random().nextInt(HOSTS - 1);
      int firstHost = time.random().nextInt(HOSTS);
      int affectedWorkers = 1 + time.random().nextInt(WORKERS);
      long fromMs = time.random().nextInt(FAULT_PHASE_MS);
      long durationMs = 1000L + time.random().nextInt(MAX_PATH_FAULT_MS);
      addFault(fromMs, durationMs);
      long endMs = time.nowMs() + fromMs + durationMs;
      int flapIntervalMs = 100 + time.random().nextInt(1000);
      for (int j = 0; j < affectedHosts; j++) {
        SimulatedHost host = hosts.get((firstHost + j) % HOSTS);
        time.after(fromMs, () -> setPathsBlocked(host, affectedWorkers, true));
        time.after(fromMs, () -> flapPath(host, true, flapIntervalMs, endMs));
        time.after(fromMs + durationMs, () -> setPathsBlocked(host, affectedWorkers, false));
      }
    }
  }

  private void setPathsBlocked(SimulatedHost host, int affectedWorkers, boolean areBlocked) {
    for (int worker = 0; worker < affectedWorkers; worker++) {
      workers.setPathBlocked(host, worker, areBlocked);
    }
  }

  private void flapPath(SimulatedHost host, boolean isBlocked, int intervalMs, long endMs) {
    boolean isOver = time.nowMs() >= endMs;
    workers.setPathBlocked(host, 0, isBlocked && !isOver);
    if (!isOver) {
      time.after(intervalMs, () -> flapPath(host, !isBlocked, intervalMs, endMs));
    }
  }

  /** Evacuates the availability zone of all workers at random times and restores it later. */
  void evacuate(int times) {
    SimulatedOperator operator = new SimulatedOperator(time, store);
    workers.setOperator(operator);
    hosts.forEach(host -> host.setOperator(operator));
    for (int i = 0; i < times; i++) {
      long fromMs = time.random().nextInt(FAULT_PHASE_MS);
      long durationMs = 1L + time.random().nextInt(MAX_EVACUATION_MS);
      time.after(fromMs, () -> operator.evacuate(workers.zoneOf(0)));
      time.after(fromMs + durationMs, () -> operator.restore(workers.zoneOf(0)));
    }
  }

  private void setPartitioned(SimulatedHost host, boolean isPartitioned) {
    store.setPartitioned(host, isPartitioned);
    peers.setPartitioned(host, isPartitioned);
  }

  /** Runs the schedule; checks what the workers did and the final state of each job. */
  int run() {
    simulate();
    checkLedger();
    return checkFinalStates();
  }

  /** Runs the schedule; checks only the final state of each job. */
  int runCheckingFinalStates() {
    simulate();
    return checkFinalStates();
  }

  private void simulate() {
    hosts.forEach(SimulatedHost::start);
    time.runFor(2000);
    for (int i = 0; i < JOBS; i++) {
      long delayMs = time.random().nextInt(FAULT_PHASE_MS);
      String id = String.format("%016x", seed * 1000 + i);
      time.after(delayMs, () -> submit(id));
    }
    int faults = otherFaults ? 4 + time.random().nextInt(8) : 0;
    for (int i = 0; i < faults; i++) {
      time.after(time.random().nextInt(FAULT_PHASE_MS), this::injectFault);
    }
    time.runFor(FAULT_PHASE_MS);
    time.runFor(SETTLING_MS);
    excludeEndedJobs();
    stuckJobs.checkFor(RECOVERY_PHASE_MS - SETTLING_MS);
    time.runFor(RECOVERY_PHASE_MS - SETTLING_MS);
    checkStuckJobs();
  }

  // Workers do not know which jobs have ended: a done task may be started and stopped again.
  private void excludeEndedJobs() {
    Map<String, CompletableFuture<Optional<BatchHost.JobSummary>>> found = new TreeMap<>();
    submitOutcomes.keySet().forEach(id -> found.put(id, hosts.get(0).batch().find(id)));
    time.runFor(1000);
    found.forEach(
        (id, state) -> {
          if (state.join().filter(summary -> summary.state().ended()).isPresent()) {
            stuckJobs.removeJob(id);
          }
        });
  }

  // Without a permit, a worker may not run a job even if it has the capacity.
  private void checkStuckJobs() {
    for (StuckJobsCheck.StuckJob job :
        permitsNeeded ? List.<StuckJobsCheck.StuckJob>of() : stuckJobs.stuckJobs()) {
      boolean hasEnded =
          cancelledJobs.contains(job.id())
              || stateAt(hosts.get(0), job.id()).filter(BatchState.FAILED::equals).isPresent();
      assertWithMessage("seed " + seed + " " + job + " makes no progress").that(hasEnded).isTrue();
    }
  }

  private SimulatedHost randomHost() {
    return hosts.get(time.random().nextInt(HOSTS));
  }

  private void submit(String id) {
    SimulatedHost host = randomHost();
    if (!host.isAlive()) {
      return;
    }
    BatchJob job = randomJob(id);
    host.batch()
        .submit(job, time.nowMs() + 2000)
        .whenComplete(
            (done, failure) -> {
              submitOutcomes.put(id, describeOutcome(failure));
              if (failure == null) {
                if (!crashingJobs.contains(id)) {
                  stuckJobs.addJob(job);
                }
                onJobAccepted();
              }
            });
    if (time.random().nextInt(jobsPerCancellation) == 0) {
      time.after(200L + time.random().nextInt(3000), () -> cancel(id));
    }
  }

  private void cancel(String id) {
    SimulatedHost host = randomHost();
    if (host.isAlive()) {
      // A host that is killed first never responds, but may have logged the cancellation.
      cancelledJobs.add(id);
      host.batch()
          .cancel(id, SimulatedJobs.ANY_OWNER, summary -> {}, time.nowMs() + 2000)
          .whenComplete(
              (known, failure) -> {
                if (failure != null && describeOutcome(failure).equals("unavailable")) {
                  cancelledJobs.remove(id);
                }
                // Each job is submitted once, before its cancellation.
                if (failure == null) {
                  sweptTasks.onCancelled(id, time.nowMs());
                }
                if (failure == null && !known) {
                  deniedJobs.add(id);
                }
              });
    }
  }

  private static String describeOutcome(Throwable failure) {
    if (failure == null) {
      return "accepted";
    }
    Throwable cause = Problems.unwrap(failure);
    return cause instanceof Refusal refusal ? refusal.kind().label() : String.valueOf(cause);
  }

  private BatchJob randomJob(String id) {
    boolean gang = time.random().nextBoolean();
    int tasks = 1 + time.random().nextInt(6);
    int accelerators = 1 + time.random().nextInt(4);
    int workMs = 300 + time.random().nextInt(4000);
    int failing = time.random().nextInt(6) == 0 ? 1 : 0;
    TaskPlan plan = new TaskPlan(workMs, gang ? tasks : 1, accelerators, failing);
    if (jobsPerCrashingJob > 0 && time.random().nextInt(jobsPerCrashingJob) == 0) {
      crashingJobs.add(id);
      plan = plan.withWorkerCrash();
    }
    ResourceAmount amount = new ResourceAmount(1000, 100, accelerators);
    StepSpec step =
        new StepSpec(
            tasks,
            amount,
            workMs,
            List.of(),
            false,
            gang,
            gang,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    int priority = time.random().nextInt(3);
    return new BatchJob(
        id,
        QUEUE,
        "service",
        "workspace",
        plan.text(),
        List.of(step),
        Optional.empty(),
        priority,
        4,
        time.nowMs());
  }

  private void injectFault() {
    long durationMs = 500L + time.random().nextInt(8000);
    SimulatedHost host = randomHost();
    int worker = time.random().nextInt(WORKERS);
    // Some faults last twice as long.
    addFault(0, 2 * durationMs);
    switch (time.random().nextInt(11)) {
      case 0 -> {
        host.kill();
        time.after(durationMs, host::start);
      }
      case 1 -> host.freeze(durationMs);
      case 2 -> {
        store.setPartitioned(host, true);
        time.after(durationMs, () -> store.setPartitioned(host, false));
      }
      case 3 -> {
        store.setDown(true, time.random().nextBoolean());
        time.after(durationMs, () -> store.setDown(false, false));
      }
      case 4 -> {
        store.setLossProbability(0.4);
        time.after(durationMs, () -> store.setLossProbability(0));
      }
      case 5 -> {
        store.setLatencyMs(200);
        time.after(durationMs, () -> store.setLatencyMs(4));
      }
      case 6 -> store.dropHistory();
      case 7 -> {
        // Longer than the leases, so that ends are reported after the tasks were started again.
        workers.setWorkerPartitioned(worker, true);
        time.after(2 * durationMs, () -> workers.setWorkerPartitioned(worker, false));
      }
      case 8 -> {
        workers.setLossProbability(0.2);
        time.after(durationMs, () -> workers.setLossProbability(0));
      }
      case 9 -> workers.restart(worker);
      default -> {
        hosts.forEach(SimulatedHost::kill);
        time.after(1000, () -> hosts.forEach(SimulatedHost::start));
      }
    }
  }

  // A fault that begins after a time from now.
  private void addFault(long delayMs, long durationMs) {
    sweptTasks.addFault(time.nowMs() + delayMs, time.nowMs() + delayMs + durationMs);
  }

  private void checkSweptTasks() {
    List<TaskLedger.Event> events = workers.ledger().events();
    List<String> violations = sweptTasks.findViolations(events, time.nowMs());
    assertWithMessage("seed " + seed + " tasks of cancelled jobs").that(violations).isEmpty();
  }

  private void checkLedger() {
    checkSweptTasks();
    List<String> violations = workers.ledger().violations();
    String events =
        eventsWhere(task -> violations.stream().anyMatch(text -> text.contains(task.toString())));
    assertWithMessage("seed " + seed + events).that(violations).isEmpty();
  }

  private String eventsWhere(Predicate<TaskName> tasks) {
    return workers.ledger().events().stream()
        .filter(event -> tasks.test(event.task()))
        .map(event -> "\n" + event)
        .collect(Collectors.joining());
  }

  private int checkFinalStates() {
    String seedText = "seed " + seed;
    Set<String> startedJobs = new HashSet<>();
    workers.ledger().events().forEach(event -> startedJobs.add(event.task().jobId()));
    int accepted = 0;
    SimulatedHost host = hosts.get(0);
    for (Map.Entry<String, String> entry : submitOutcomes.entrySet()) {
      String jobText = seedText + " job " + entry.getKey();
      if (entry.getValue().equals("unavailable")) {
        assertWithMessage(jobText + " was refused")
            .that(startedJobs)
            .doesNotContain(entry.getKey());
        continue;
      }
      Optional<BatchState> state = stateAt(host, entry.getKey());
      if (entry.getValue().equals("accepted")) {
        accepted++;
        assertWithMessage(jobText).that(state).isPresent();
        assertWithMessage(jobText + " was denied").that(deniedJobs).doesNotContain(entry.getKey());
      }
      if (deniedJobs.contains(entry.getKey()) && state.isPresent()) {
        assertWithMessage(jobText + " was denied").that(state).hasValue(BatchState.CANCELLED);
      }
      if (state.isPresent() && !cancelledJobs.contains(entry.getKey())) {
        String message =
            jobText
                + explain(entry.getKey())
                + eventsWhere(task -> task.jobId().equals(entry.getKey()));
        assertWithMessage(message).that(state).hasValue(expectedState(entry.getKey(), state.get()));
      }
    }
    assertWithMessage(seedText).that(workers.ledger().running()).isEmpty();
    return accepted;
  }

  // A job whose tasks crash their workers fails. Any other job may fail only if enough workers
  // crashed by chance while they ran one of its tasks.
  private BatchState expectedState(String id, BatchState state) {
    boolean mayFail =
        workers.ledger().workerCrashes().entrySet().stream()
            .anyMatch(
                entry ->
                    entry.getKey().jobId().equals(id) && entry.getValue() >= MIN_CRASHES_TO_FAIL);
    if (crashingJobs.contains(id) || (mayFail && state == BatchState.FAILED)) {
      return BatchState.FAILED;
    }
    return BatchState.SUCCEEDED;
  }

  private String explain(String id) {
    StringBuilder text = new StringBuilder();
    for (SimulatedHost host : hosts) {
      CompletableFuture<List<String>> lines = host.batch().explain(id);
      time.runFor(1000);
      text.append(' ').append(host.name()).append(lines.join());
    }
    return text.toString();
  }

  private Optional<BatchState> stateAt(SimulatedHost host, String id) {
    CompletableFuture<Optional<BatchHost.JobSummary>> found = host.batch().find(id);
    time.runFor(1000);
    return found.join().map(BatchHost.JobSummary::state);
  }
}
