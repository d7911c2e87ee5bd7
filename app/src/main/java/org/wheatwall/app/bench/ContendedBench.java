package org.wheatwall.app.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Plays a load in which urgent gangs stop other work, and work waits, on the batch decider alone,
 * in simulated time, and measures the processor time of each kind of call. The load grows with the
 * workers.
 */
final class ContendedBench {
  private static final int WORKERS_PER_UNIT = 245;
  private static final int WORKERS_PER_RACK = 12;
  private static final int ZONES = 3;
  private static final int TICK_MS = 100;
  private static final int REPORT_INTERVAL_MS = 1000;
  private static final int PASS_INTERVAL_MS = 50;
  // A pass is followed by a pause of three times its duration, of at most 400 ms.
  private static final int PAUSE_PER_PASS = 3;
  private static final int MAX_PAUSE_MS = 400;
  private static final int COMMAND_MS = 8;
  private static final int STOP_MS = 30;
  private static final int LOG_MS = 15;
  private static final int WARM_UP_MS = 10_000;
  private static final int[] ACCELERATORS = {1, 2, 4, 8, 8};
  private static final ResourceAmount WORKER = new ResourceAmount(64_000, 262_144, 8);
  private static final ResourceAmount PER_ACCELERATOR = new ResourceAmount(7500, 24_576, 1);
  private static final double NANOS_PER_MICRO = 1000;
  private static final double NANOS_PER_MS = 1e6;
  private static final PolicySpec POLICY =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false);
  private static final SchedulingRules RULES =
      new SchedulingRules(
          Map.of(),
          Set.of(),
          Map.of(
              "urgent",
              new Objective(1.5, 250),
              "long",
              new Objective(3, 1000),
              "wide",
              new Objective(3, 1000)));

  /** The calls whose processor time is measured. */
  private enum Call {
    LIST,
    ACCEPT,
    REPORT,
    COMMAND_OUTCOME,
    LOG_ACKNOWLEDGED,
    TICK,
    PASS,
    PASS_WITH_RECLAIM
  }

  private static final class Cost {
    private long calls;
    private long nanos;
    private long largestNanos;
  }

  private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(number, other.number);
    }
  }

  private record RunKey(TaskName task, int run) {}

  private static final class Worker {
    private final Map<RunKey, StartCommand> running = new LinkedHashMap<>();
    private final Deque<WorkerInventory.EndedTask> ended = new ArrayDeque<>();
    private long ends;
    private long reports;
    private boolean reportDue;
  }

  private final int workers;
  private final long endMs;
  private final double load;
  private final double runTime;
  private final double coreShare;
  private final Random random = new Random(1);
  private final RunSupervisor supervisor;
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final Map<Call, Cost> costs = new EnumMap<>(Call.class);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Worker> workersById = new HashMap<>();
  private final Map<String, Integer> runMsByJob = new HashMap<>();
  private long nowMs;
  private long nextEvent;
  private int jobs;
  private long nextPassMs;
  private boolean reclaimed;
  private boolean measuring;
  private long tasksEnded;
  private long starts;
  private long stops;
  private long appends;
  private long logEvents;
  private long samples;
  private long waitingSum;
  private long busySum;
  private int hash;

  private ContendedBench(Load load, double coreShare) {
    this.coreShare = coreShare;
    this.workers = load.workers();
    this.load = load.rate();
    this.runTime = load.runTime();
    this.endMs = WARM_UP_MS + load.seconds() * 1000L;
    for (Call call : Call.values()) {
      costs.put(call, new Cost());
    }
    SchedulerSettings scheduling =
        new SchedulerSettings(
            600_000,
            500,
            64,
            HostHealthSettings.SHORT_JOBS,
            load.reservedPercent(),
            Mechanisms.ALL);
    supervisor =
        new RunSupervisor(
            SupervisorSettings.of(3000, 120_000), scheduling, new Effects(), 1, nowMs, 0);
    supervisor.scheduler().setPolicies(Map.of("batch", POLICY));
    supervisor.setRules(RULES, nowMs);
  }

  /**
   * A load.
   *
   * @param seconds simulated time that is measured, seconds
   * @param rate multiple of the usual rate of arrivals
   * @param runTime multiple of the usual run times
   * @param reservedPercent accelerators that other work leaves free for urgent work, percent
   */
  record Load(int workers, int seconds, double rate, double runTime, int reservedPercent) {}

  /**
   * Plays a load and returns the costs.
   *
   * @param coreShare share of a core that the decider has, which determines the pause after each
   *     scheduling pass; 0 for a fixed interval, with which the decisions are always the same
   */
  static List<String> run(Load load, double coreShare) {
    return new ContendedBench(load, coreShare).play();
  }

  private List<String> play() {
    for (int i = 0; i < workers; i++) {
      list(i);
    }
    Cost listing = costs.put(Call.LIST, new Cost());
    arrive("urgent", 3.6);
    arrive("long", 1.05);
    arrive("wide", 1.3);
    schedule(TICK_MS, this::tick);
    while (nowMs < endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      if (!measuring && nowMs >= WARM_UP_MS) {
        measuring = true;
        costs.replaceAll((call, cost) -> new Cost());
      }
      event.action().run();
      decideIfDue();
    }
    costs.put(Call.LIST, listing);
    return describe();
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextEvent++, action));
  }

  private void measure(Call call, Runnable action) {
    long before = threads.getCurrentThreadCpuTime();
    action.run();
    record(call, threads.getCurrentThreadCpuTime() - before);
  }

  private void record(Call call, long nanos) {
    Cost cost = costs.get(call);
    cost.calls++;
    cost.nanos += nanos;
    cost.largestNanos = Math.max(cost.largestNanos, nanos);
  }

  private void list(int number) {
    String id = "worker-" + number;
    int rack = number / WORKERS_PER_RACK;
    WorkerInfo info =
        new WorkerInfo(
            id,
            "127.0.0.1:1",
            "service",
            "zone-" + rack % ZONES,
            "rack-" + rack,
            Set.of(),
            WORKER,
            false);
    workersById.put(id, new Worker());
    measure(Call.LIST, () -> supervisor.listWorker(info, nowMs));
  }

  private void arrive(String kind, double perSecond) {
    double rate = perSecond * load * workers / WORKERS_PER_UNIT;
    long delayMs = Math.round(-Math.log(1 - random.nextDouble()) / rate * 1000);
    schedule(
        delayMs,
        () -> {
          submit(kind);
          arrive(kind, perSecond);
        });
  }

  private void submit(String kind) {
    int accelerators = ACCELERATORS[random.nextInt(ACCELERATORS.length)];
    BatchJob job =
        switch (kind) {
          case "urgent" -> job(kind, 0, 3 + random.nextInt(5), accelerators, 2000, true);
          case "long" -> job(kind, 2, 10 + random.nextInt(7), accelerators, 7000, true);
          default -> job(kind, 1, 40 + random.nextInt(21), 1 + random.nextInt(3), 5000, false);
        };
    measure(Call.ACCEPT, () -> supervisor.accept(job, nowMs, nowMs));
  }

  private BatchJob job(
      String queue, int priority, int tasks, int accelerators, int runMs, boolean gang) {
    String id = String.format("%016x", ++jobs);
    runMsByJob.put(id, (int) (runMs * runTime * (0.7 + 0.6 * random.nextDouble())));
    boolean sameRack = gang && random.nextDouble() < 0.8;
    StepSpec step =
        new StepSpec(
            tasks,
            PER_ACCELERATOR.times(accelerators),
            runMs,
            List.of(),
            priority > 0,
            gang,
            sameRack,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    return new BatchJob(
        id,
        queue,
        "service",
        "workspace-" + jobs % 6,
        "specification",
        List.of(step),
        Optional.empty(),
        priority,
        3,
        nowMs);
  }

  private void tick() {
    measure(Call.TICK, () -> supervisor.tick(nowMs, nowMs));
    schedule(TICK_MS, this::tick);
    if (measuring) {
      samples++;
      waitingSum += supervisor.scheduler().waiting().size();
      busySum +=
          supervisor.scheduler().cluster().totalAccelerators()
              - supervisor.scheduler().cluster().freeAccelerators();
    }
  }

  private void decideIfDue() {
    if (nowMs < nextPassMs || !supervisor.isDecisionDue(nowMs)) {
      return;
    }
    reclaimed = false;
    long before = threads.getCurrentThreadCpuTime();
    supervisor.decide(nowMs, nowMs);
    long nanos = threads.getCurrentThreadCpuTime() - before;
    nextPassMs = nowMs + passIntervalMs(nanos);
    record(reclaimed ? Call.PASS_WITH_RECLAIM : Call.PASS, nanos);
  }

  private long passIntervalMs(long nanos) {
    if (coreShare == 0) {
      return PASS_INTERVAL_MS;
    }
    long tookMs = (long) (nanos / NANOS_PER_MS / coreShare);
    return tookMs + Math.min(MAX_PAUSE_MS, PAUSE_PER_PASS * tookMs);
  }

  /** Carries out every command after a fixed time. */
  private final class Effects implements RunEffects {
    @Override
    public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
      appends += measuring && !entries.isEmpty() ? 1 : 0;
      schedule(LOG_MS, () -> measure(Call.LOG_ACKNOWLEDGED, onAcknowledged));
    }

    @Override
    public void sendStart(StartCommand command) {
      starts += measuring ? 1 : 0;
      hash = 31 * hash + command.hashCode();
      schedule(COMMAND_MS, () -> started(command));
    }

    @Override
    public void sendStop(StopCommand command) {
      stops += measuring ? 1 : 0;
      hash = 31 * hash + command.hashCode();
      schedule(STOP_MS, () -> stopped(command));
    }

    @Override
    public void requestReport(String worker) {
      Worker state = workersById.get(worker);
      if (!state.reportDue) {
        state.reportDue = true;
        schedule(COMMAND_MS, () -> report(worker));
      }
    }

    @Override
    public void requestPermits(PermitRequest request) {}

    @Override
    public void logDecision(RunEvent event) {
      logEvents += measuring ? 1 : 0;
      reclaimed |= event.kind() == RunEvent.Kind.RUN_STOPPING;
    }
  }

  private void started(StartCommand command) {
    RunKey key = new RunKey(command.task(), command.run());
    workersById.get(command.worker()).running.put(key, command);
    measure(
        Call.COMMAND_OUTCOME,
        () -> supervisor.onStartOutcome(command, CommandOutcome.DONE, nowMs, nowMs));
    schedule(
        runMsByJob.get(command.task().jobId()), () -> end(command.worker(), key, EndKind.DONE));
  }

  private void stopped(StopCommand command) {
    end(command.worker(), new RunKey(command.task(), command.run()), EndKind.STOPPED);
    measure(
        Call.COMMAND_OUTCOME,
        () -> supervisor.onStopOutcome(command, CommandOutcome.DONE, nowMs, nowMs));
  }

  private void end(String id, RunKey key, EndKind kind) {
    Worker worker = workersById.get(id);
    if (worker.running.remove(key) != null) {
      tasksEnded += measuring && kind == EndKind.DONE ? 1 : 0;
      worker.ended.add(
          new WorkerInventory.EndedTask(++worker.ends, key.task(), key.run(), kind, ""));
      report(id);
    }
  }

  private void report(String id) {
    Worker worker = workersById.get(id);
    worker.reportDue = false;
    long acknowledged = supervisor.acknowledgedEndNumber(id);
    worker.ended.removeIf(end -> end.number() <= acknowledged);
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    for (RunKey key : worker.running.keySet()) {
      running.add(new WorkerInventory.RunningTask(key.task(), key.run(), "", 0));
    }
    WorkerInventory inventory = new WorkerInventory(nowMs, running, List.copyOf(worker.ended));
    supervisor.onLeaseSent(id, nowMs);
    measure(Call.REPORT, () -> supervisor.onReport(id, inventory, nowMs, nowMs, nowMs));
    long number = ++worker.reports;
    schedule(
        REPORT_INTERVAL_MS,
        () -> {
          if (number == worker.reports && supervisor.needsReports(id)) {
            report(id);
          }
        });
  }

  private List<String> describe() {
    double seconds = (endMs - WARM_UP_MS) / 1000.0;
    long nanos = 0;
    List<String> lines = new ArrayList<>();
    lines.add("| call | a simulated second | us cpu each | ms cpu a second | largest, ms |");
    lines.add("| --- | --- | --- | --- | --- |");
    for (Map.Entry<Call, Cost> entry : costs.entrySet()) {
      Cost cost = entry.getValue();
      boolean listing = entry.getKey() == Call.LIST;
      nanos += listing ? 0 : cost.nanos;
      lines.add(
          String.format(
              "| %s | %.1f | %.1f | %.1f | %.1f |",
              entry.getKey() + (listing ? " (all at once)" : ""),
              cost.calls / (listing ? 1 : seconds),
              cost.nanos / NANOS_PER_MICRO / Math.max(1, cost.calls),
              cost.nanos / NANOS_PER_MS / (listing ? 1 : seconds),
              cost.largestNanos / NANOS_PER_MS));
    }
    lines.add(
        String.format(
            "%d workers: %.1f us cpu a task, %.1f%% of a core; a second: %.1f tasks ended, %.1f"
                + " starts, %.1f stops, %.1f appends, %.1f log lines; %.0f waiting, %.0f%% in use;"
                + " decisions %08x",
            workers,
            nanos / NANOS_PER_MICRO / Math.max(1, tasksEnded),
            nanos / NANOS_PER_MS / seconds / 10,
            tasksEnded / seconds,
            starts / seconds,
            stops / seconds,
            appends / seconds,
            logEvents / seconds,
            (double) waitingSum / Math.max(1, samples),
            100.0
                * busySum
                / Math.max(1, samples)
                / supervisor.scheduler().cluster().totalAccelerators(),
            hash));
    return lines;
  }
}
