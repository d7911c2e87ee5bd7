package org.wheatwall.entry.job;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.entry.configuration.Draft;
import org.wheatwall.standin.worker.TaskEvent;
import org.wheatwall.standin.worker.WorkerModel;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Runs the real decider against simulated workers under random faults: lost, delayed and repeated
 * messages, workers that crash or stop responding, deciders that crash or pause, cancelled jobs and
 * an unavailable log. As with the zone's views, the next decider acts only after the lease of the
 * previous one has ended, but messages of the previous one may still arrive.
 */
final class FaultSchedule {
  private static final String ZONE = "zone-1";
  private static final long TICK_MS = 25;
  private static final long CONFIRMATION_MS = 1500;
  private static final ResourceAmount CAPACITY = new ResourceAmount(32, 65536, 8);

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final Map<String, SimulatedWorker> workers = new TreeMap<>();
  private final Map<ResourceKey, StoredResource> log = new TreeMap<>();
  private final List<SimulatedDecider> deciders = new ArrayList<>();
  private final Set<String> unreliableWorkers = new HashSet<>();
  private long version = 1;
  private long epoch;
  private boolean logUnavailable;
  private SimulatedDecider current;

  FaultSchedule(long seed) {
    random = new SplittableRandom(seed);
  }

  private static final class SimulatedWorker {
    private final long clockOffsetMs;
    private final double clockRate;
    private final List<TaskEvent> ledgerBeforeCrash = new ArrayList<>();
    private WorkerModel model;
    private boolean responsive = true;

    private SimulatedWorker(String name, SplittableRandom random) {
      clockOffsetMs = random.nextLong(1_000_000);
      clockRate = 0.996 + random.nextDouble() * 0.008;
      model = new WorkerModel(name, CAPACITY);
    }

    private long clock(long nowMs) {
      return clockOffsetMs + (long) (nowMs * clockRate);
    }
  }

  /** Runs 40 virtual seconds with faults and 60 without; returns the task events of all workers. */
  List<TaskEvent> run(int workerCount, int jobCount) {
    for (int i = 0; i < workerCount; i++) {
      workers.put("worker-" + i, new SimulatedWorker("worker-" + i, random));
    }
    time.after(0, this::workerTick);
    replaceDecider();
    for (int i = 0; i < jobCount; i++) {
      String name = "job-" + i;
      time.after(random.nextLong(20_000), () -> submit(name));
    }
    for (int i = 0; i < 12; i++) {
      time.after(1000 + random.nextLong(38_000), this::injectFault);
    }
    time.runUntil(time.nowMs() + 40_000);
    endFaults();
    time.runUntil(time.nowMs() + 60_000);
    List<TaskEvent> ledger = new ArrayList<>();
    for (SimulatedWorker worker : workers.values()) {
      ledger.addAll(worker.ledgerBeforeCrash);
      ledger.addAll(worker.model.ledger());
    }
    return ledger;
  }

  /** Returns the phase of every job by name. */
  Map<String, JobPhase> phases() {
    Map<String, JobPhase> phases = new TreeMap<>();
    log.forEach(
        (key, stored) -> phases.put(key.name(), ((Job) stored.value().orElseThrow()).phase()));
    return phases;
  }

  /** Returns the workers that crashed or stopped responding at least once. */
  Set<String> unreliableWorkers() {
    return unreliableWorkers;
  }

  /** Returns the number of parts that workers still report. */
  int remainingPartCount() {
    int parts = 0;
    for (SimulatedWorker worker : workers.values()) {
      long clockMs = worker.clock(time.nowMs());
      WorkerExchange readAll = WorkerExchange.READ_ALL;
      parts += worker.model.exchange(readAll, clockMs, time.nowMs()).tasks().size();
    }
    return parts;
  }

  private void submit(String name) {
    int accelerators = 1 + random.nextInt(8);
    Adjacency adjacency = random.nextBoolean() ? Adjacency.ANY : Adjacency.SAME_RACK;
    Job job =
        new Job(
            Labels.NONE,
            "workspace-" + random.nextInt(2),
            ZONE,
            Optional.empty(),
            1 + random.nextInt(4),
            new ResourceAmount(1, 64, accelerators),
            adjacency,
            1 + random.nextInt(8),
            random.nextBoolean(),
            random.nextInt(5) == 0,
            JobPhase.SUBMITTED);
    store(new ResourceKey(ResourceKind.JOBS, name), job);
    if (random.nextInt(4) == 0) {
      time.after(random.nextLong(10_000), () -> cancel(name));
    }
  }

  private void cancel(String name) {
    ResourceKey key = new ResourceKey(ResourceKind.JOBS, name);
    Job job = (Job) log.get(key).value().orElseThrow();
    if (!job.phase().isFinal()) {
      store(key, job.withPhase(JobPhase.CANCELLED));
    }
  }

  private void store(ResourceKey key, Job job) {
    StoredResource stored = new StoredResource(key, ++version, Optional.of(job));
    log.put(key, stored);
    for (SimulatedDecider decider : deciders) {
      time.after(random.nextLong(50), () -> decider.applyChange(stored));
    }
  }

  private void workerTick() {
    for (SimulatedWorker worker : workers.values()) {
      worker.model.tick(worker.clock(time.nowMs()), time.nowMs());
    }
    time.after(10, this::workerTick);
  }

  private void injectFault() {
    SimulatedWorker worker = workers.get("worker-" + random.nextInt(workers.size()));
    long durationMs = 500 + random.nextLong(9_000);

    switch (random.nextInt(6)) {
      case 0 -> crash(worker);
      case 1 -> {
        worker.responsive = false;
        unreliableWorkers.add(worker.model.host());
        time.after(durationMs, () -> worker.responsive = true);
      }
      case 2, 3 -> replaceDecider();
      case 4 -> {
        current.pausedUntilMs = time.nowMs() + durationMs;
        time.after(400, this::replaceDecider);
      }
      default -> {
        logUnavailable = true;

        time.after(durationMs, () -> logUnavailable = false);
      }
    }
  }

  private void crash(SimulatedWorker worker) {
    long nowMs = time.nowMs();
    worker.ledgerBeforeCrash.addAll(worker.model.ledger());
    String host = worker.model.host();
    for (TaskEvent event : worker.model.crash(nowMs)) {
      worker.ledgerBeforeCrash.add(event);
    }
    worker.model = new WorkerModel(host, CAPACITY);
    unreliableWorkers.add(host);
  }

  private void endFaults() {
    logUnavailable = false;
    workers.values().forEach(worker -> worker.responsive = true);
  }

  private void replaceDecider() {

    long previousEndsMs = current == null ? time.nowMs() : current.stopExtending();
    SimulatedDecider next = new SimulatedDecider(++epoch, previousEndsMs, epoch == 1);
    deciders.add(next);
    current = next;
    log.values().forEach(next::applyChange);
    next.tick();
  }

  /** A decider from its start until it is replaced and its lease has ended. */
  private final class SimulatedDecider implements DeciderPorts {
    private final long ownEpoch;
    private final long actsFromMs;
    private final boolean first;
    private final Decider decider;
    private long leaseUntilMs;
    private long pausedUntilMs;
    private boolean extending = true;

    private SimulatedDecider(long ownEpoch, long actsFromMs, boolean first) {
      this.ownEpoch = ownEpoch;
      this.actsFromMs = actsFromMs;
      this.first = first;
      this.leaseUntilMs = actsFromMs;
      this.decider =
          new Decider(
              time,
              this,
              new JobConfiguration(ZONE),
              new SchedulerSettings(5_000, 500, 64),
              200,
              new MetricRegistry());
    }

    private long stopExtending() {
      extending = false;
      return Math.max(leaseUntilMs, time.nowMs());
    }

    private void applyChange(StoredResource stored) {
      decider.onConfigurationChanged(List.of(stored));
    }

    private void tick() {
      long nowMs = time.nowMs();
      boolean leaseEnded = !extending && nowMs > leaseUntilMs + 20_000;
      if (leaseEnded) {
        return;
      }
      if (nowMs >= pausedUntilMs) {
        if (extending && nowMs >= actsFromMs) {
          leaseUntilMs = nowMs + CONFIRMATION_MS;
        }
        decider.tick();
      }
      time.after(TICK_MS, this::tick);
    }

    @Override
    public Optional<DeciderLease> lease() {
      long nowMs = time.nowMs();
      boolean mayDecide = nowMs >= actsFromMs && nowMs < leaseUntilMs;
      return mayDecide
          ? Optional.of(new DeciderLease(ownEpoch, leaseUntilMs, false, first))
          : Optional.empty();
    }

    @Override
    public CompletableFuture<WorkerReport> exchange(
        String address, WorkerExchange exchange, long timeoutMs) {
      CompletableFuture<WorkerReport> future = new CompletableFuture<>();
      time.after(timeoutMs, () -> deliver(() -> future.completeExceptionally(noResponse())));
      if (random.nextInt(100) < 4) {
        return future;
      }
      // One message in thirty may be delayed for longer than any lease.
      long delayMs = random.nextInt(30) == 0 ? random.nextLong(6_000) : 1 + random.nextLong(30);
      time.after(delayMs, () -> arrive(address, exchange, future));
      return future;
    }

    private void arrive(
        String address, WorkerExchange exchange, CompletableFuture<WorkerReport> future) {
      SimulatedWorker worker = workers.get(address);
      if (!worker.responsive) {
        return;
      }
      long nowMs = time.nowMs();
      WorkerReport report = worker.model.exchange(exchange, worker.clock(nowMs), nowMs);
      if (random.nextInt(100) < 4) {
        return;
      }
      time.after(1 + random.nextLong(30), () -> deliver(() -> future.complete(report)));
    }

    // A paused process handles what arrived for it when it resumes.
    private void deliver(Runnable action) {
      if (time.nowMs() < pausedUntilMs) {
        time.after(pausedUntilMs - time.nowMs(), action);
      } else {
        action.run();
      }
    }

    @Override
    public CompletableFuture<Verdict> publish(Draft draft) {
      CompletableFuture<Verdict> future = new CompletableFuture<>();
      append(draft, future);
      return future;
    }

    private void append(Draft draft, CompletableFuture<Verdict> future) {
      if (logUnavailable) {
        time.after(200, () -> append(draft, future));
        return;
      }
      boolean accepted = log.get(draft.key()).version() == draft.baseVersion();
      if (accepted) {
        store(draft.key(), (Job) draft.value().orElseThrow());
      }
      Verdict.Decision decision =
          accepted ? Verdict.Decision.ACCEPTED : Verdict.Decision.STALE_VERSION;
      time.after(
          60, () -> deliver(() -> future.complete(new Verdict("change", decision, version, ""))));
    }

    @Override
    public List<ListedHost> workers() {
      List<ListedHost> listed = new ArrayList<>();
      int index = 0;
      for (String name : workers.keySet()) {
        listed.add(ListedHost.worker(name, ZONE, "rack-" + index++ / 4, name, CAPACITY));
      }
      return listed;
    }

    private Refusal noResponse() {
      return new Refusal(RefusalKind.UNKNOWN, "no response", "retry");
    }
  }
}
