package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Simulates a live load on the real decider in simulated time: workers slow down, stall and
 * recover, stops take a fraction of a second, and the decider fails and is replaced by one that
 * knows only the log. Network, processor time and entry hosts are not modelled.
 */
final class LiveSimulation {
  private static final int STEP_MS = 10;
  private static final int DRAIN_MS = 30_000;
  private static final int REPORT_INTERVAL_MS = 250;
  private static final int LEASE_MS = 6000;
  // A stop typically takes 0.6 s (609 samples).
  private static final int MIN_STOP_MS = 300;
  private static final int STOP_JITTER_MS = 600;

  private final LiveSpec spec;
  private final Random random;
  private final List<LiveJob> jobs;
  private final Map<String, LiveJob> byId = new HashMap<>();
  private final Map<String, LiveWorker> workers = new LinkedHashMap<>();
  private final JobTable table = new JobTable();
  private final LiveClock clock = new LiveClock();
  private final Map<String, Long> endedMs = new HashMap<>();
  private Optional<RunSupervisor> decider = Optional.empty();
  private long offset;
  private long term;
  private double usedMs;
  private double lostMs;
  private double fragmentation;
  private int passes;
  private int stops;
  private int breaches;
  private int refusals;

  LiveSimulation(LiveSpec spec) {
    this.spec = spec;
    this.random = new Random(spec.seed() * 31);
    this.jobs = new LiveArrivals(spec).generate();
    for (int i = 0; i < spec.hosts(); i++) {
      workers.put("worker-" + i, new LiveWorker("worker-" + i));
    }
    jobs.forEach(job -> clock.at(job.arrivalMs(), () -> accept(job)));
    new LiveFaults(clock, List.copyOf(workers.values()), random)
        .schedule(spec.seconds() * 1000L, () -> decider = Optional.empty(), this::beginTerm);
    beginTerm();
  }

  /** Runs the simulation to its end. */
  LiveResult run() {
    int lengthMs = spec.seconds() * 1000;
    for (long atMs = 0; atMs < lengthMs + DRAIN_MS; atMs += STEP_MS) {
      clock.advanceTo(atMs);
      advanceTasks();
      decider.ifPresent(this::decide);
    }
    LiveScore score = new LiveScore(lengthMs);
    jobs.forEach(job -> score.add(job, endedMs.getOrDefault(job.job().id(), -1L)));
    return score.result(
        lostMs / Math.max(1, usedMs),
        stops,
        refusals,
        fragmentation / Math.max(1, passes),
        breaches);
  }

  private void accept(LiveJob job) {
    byId.put(job.job().id(), job);
    apply(LogEntry.of(LogKey.job(job.job().id()), new LogContent.Definition(job.job())));
    decider.ifPresent(current -> current.accept(job.job(), clock.nowMs(), clock.nowMs()));
  }

  private void apply(LogEntry entry) {
    table.apply(entry, offset++);
    entry
        .content()
        .filter(content -> content instanceof LogContent.End)
        .map(LogContent.End.class::cast)
        .filter(end -> end.state() == BatchState.SUCCEEDED)
        .ifPresent(end -> endedMs.putIfAbsent(entry.key().name(), clock.nowMs()));
  }

  private void beginTerm() {
    term++;
    SchedulerSettings scheduling =
        new SchedulerSettings(
            600_000,
            500,
            64,
            HostHealthSettings.SHORT_JOBS,
            spec.reservedPercent(),
            spec.mechanisms());
    RunSupervisor next =
        new RunSupervisor(
            SupervisorSettings.of(LEASE_MS, 600_000),
            scheduling,
            new Effects(term),
            term,
            clock.nowMs(),
            0);
    next.scheduler()
        .setPolicies(
            Map.of(
                "live",
                new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
    next.setRules(new SchedulingRules(Map.of(), Set.of(), objectives()), clock.nowMs());
    next.adopt(table, clock.nowMs(), clock.nowMs());
    decider = Optional.of(next);
    int index = 0;
    for (String id : workers.keySet()) {
      next.listWorker(info(id, index++ / LiveSpec.HOSTS_PER_RACK), clock.nowMs());
    }
    long ownTerm = term;
    workers.values().forEach(worker -> clock.after(STEP_MS, () -> keepReporting(ownTerm, worker)));
  }

  private static Map<String, Objective> objectives() {
    Map<String, Objective> objectives = new HashMap<>();
    for (LiveKind kind : LiveKind.values()) {
      objectives.put(kind.queue(), kind.objective());
    }
    return objectives;
  }

  private static WorkerInfo info(String id, int rack) {
    ResourceAmount capacity = new ResourceAmount(32_000, 131_072, LiveSpec.ACCELERATORS);
    return new WorkerInfo(
        id, "127.0.0.1:1", "service", "zone", "rack-" + rack, Set.of(), capacity, false);
  }

  private void keepReporting(long reportTerm, LiveWorker worker) {
    if (reportTerm == term && decider.isPresent()) {
      report(reportTerm, worker);
      clock.after(REPORT_INTERVAL_MS, () -> keepReporting(reportTerm, worker));
    }
  }

  private void report(long reportTerm, LiveWorker worker) {
    if (reportTerm != term || decider.isEmpty()) {
      return;
    }
    RunSupervisor current = decider.get();
    long acknowledged = current.acknowledgedEndNumber(worker.id());
    current.onReport(
        worker.id(),
        worker.report(acknowledged, clock.nowMs()),
        clock.nowMs(),
        clock.nowMs(),
        clock.nowMs());
  }

  private void decide(RunSupervisor current) {
    current.tick(clock.nowMs(), clock.nowMs());
    if (current.isDecisionDue(clock.nowMs())) {
      current.decide(clock.nowMs(), clock.nowMs());
      fragmentation += current.scheduler().cluster().fragmentation();
      passes++;
    }
  }

  // A gang advances at the speed of its slowest member, and only once all members have started.
  private void advanceTasks() {
    Map<String, List<LiveWorker.ActiveRun>> gangs = new HashMap<>();
    Map<String, Double> speeds = new HashMap<>();
    for (LiveWorker worker : workers.values()) {
      for (LiveWorker.ActiveRun run : worker.activeRuns()) {
        String unit = progressUnit(run.command.task(), run.job);
        gangs.computeIfAbsent(unit, key -> new ArrayList<>()).add(run);
        speeds.merge(unit, worker.speed(), Math::min);
      }
    }
    gangs.forEach((unit, runs) -> advance(runs, speeds.get(unit)));
  }

  private static String progressUnit(TaskName task, LiveJob job) {
    return job.job().steps().get(0).gang() ? task.jobId() : task.jobId() + "." + task.index();
  }

  private void advance(List<LiveWorker.ActiveRun> runs, double speed) {
    int groupSize = runs.get(0).job.job().steps().get(0).tasksInGroup();
    if (runs.size() < groupSize) {
      return;
    }
    for (LiveWorker.ActiveRun run : runs) {
      run.workedMs += STEP_MS * speed;
      usedMs += STEP_MS * LiveWorker.accelerators(run);
    }
    if (runs.get(0).isFinished()) {
      runs.forEach(run -> end(run.command.worker(), run.command.task(), run.command.run(), true));
    }
  }

  private void end(String id, TaskName task, int run, boolean done) {
    LiveWorker worker = workers.get(id);
    LiveWorker.ActiveRun ended = worker.end(task, run, done ? EndKind.DONE : EndKind.STOPPED);
    if (ended == null) {
      return;
    }
    lostMs += done ? 0 : LiveWorker.lostMs(ended) * LiveWorker.accelerators(ended);
    long ownTerm = term;
    clock.after(STEP_MS, () -> report(ownTerm, worker));
  }

  private CommandOutcome begin(StartCommand command) {
    LiveWorker worker = workers.get(command.worker());
    LiveJob job = byId.get(command.task().jobId());
    if (!worker.hasCapacity(job)) {
      refusals++;
      return CommandOutcome.NO_ROOM;
    }
    boolean duplicate =
        workers.values().stream().anyMatch(other -> other.isRunning(command.task()));
    breaches += duplicate ? 1 : 0;
    worker.start(command, job);
    return CommandOutcome.DONE;
  }

  /** Carries out the effects of one term's decider; effects of an ended term are discarded. */
  private final class Effects implements RunEffects {
    private final long ownTerm;

    private Effects(long ownTerm) {
      this.ownTerm = ownTerm;
    }

    private void afterStep(Runnable task) {
      clock.after(
          STEP_MS,
          () -> {
            if (ownTerm == term && decider.isPresent()) {
              task.run();
            }
          });
    }

    @Override
    public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
      afterStep(
          () -> {
            entries.forEach(LiveSimulation.this::apply);
            onAcknowledged.run();
          });
    }

    @Override
    public void sendStart(StartCommand command) {
      afterStep(
          () -> {
            CommandOutcome outcome = begin(command);
            decider.get().onStartOutcome(command, outcome, clock.nowMs(), clock.nowMs());
          });
    }

    @Override
    public void sendStop(StopCommand command) {
      afterStep(
          () -> {
            stops++;
            decider.get().onStopOutcome(command, CommandOutcome.DONE, clock.nowMs(), clock.nowMs());
          });
      clock.after(
          MIN_STOP_MS + random.nextInt(STOP_JITTER_MS),
          () -> end(command.worker(), command.task(), command.run(), false));
    }

    @Override
    public void requestReport(String worker) {
      afterStep(() -> report(ownTerm, workers.get(worker)));
    }

    @Override
    public void requestPermits(PermitRequest request) {}

    @Override
    public void logDecision(RunEvent event) {}
  }
}
