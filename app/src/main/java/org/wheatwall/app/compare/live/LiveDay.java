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
 * Plays a live day on the real decider's decisions, on a clock of its own: workers turn slow, stand
 * still and come back, stops take a part of a second, and the decider goes away and is replaced by
 * one that knows only the log. Network, processor time and entry hosts are not modelled.
 */
final class LiveDay {
  private static final int STEP_MS = 10;
  private static final int AFTER_MS = 30_000;
  private static final int REPORT_EVERY_MS = 250;
  private static final int LEASE_MS = 6000;
  // A stop takes 0.6 s as a rule, measured on 609 of them.
  private static final int LEAST_STOP_MS = 300;
  private static final int MORE_STOP_MS = 600;

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
  private double spentMs;
  private double lostMs;
  private double fragmentation;
  private int looks;
  private int stops;
  private int breaches;
  private int refusals;

  LiveDay(LiveSpec spec) {
    this.spec = spec;
    this.random = new Random(spec.seed() * 31);
    this.jobs = new LiveArrivals(spec).draw();
    for (int i = 0; i < spec.hosts(); i++) {
      workers.put("worker-" + i, new LiveWorker("worker-" + i));
    }
    jobs.forEach(job -> clock.at(job.arrivesMs(), () -> accept(job)));
    new LiveTrouble(clock, List.copyOf(workers.values()), random)
        .plan(spec.seconds() * 1000L, () -> decider = Optional.empty(), this::beginTerm);
    beginTerm();
  }

  /** Plays the day to its end. */
  LiveResult play() {
    int lengthMs = spec.seconds() * 1000;
    for (long atMs = 0; atMs < lengthMs + AFTER_MS; atMs += STEP_MS) {
      clock.goTo(atMs);
      moveTasks();
      decider.ifPresent(this::decide);
    }
    LiveScore score = new LiveScore(lengthMs);
    jobs.forEach(job -> score.add(job, endedMs.getOrDefault(job.job().id(), -1L)));
    return score.result(
        lostMs / Math.max(1, spentMs),
        stops,
        refusals,
        fragmentation / Math.max(1, looks),
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
            600_000, 500, 64, HostHealthSettings.SHORT_JOBS, spec.roomPercent(), spec.mechanisms());
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
      next.listWorker(info(id, index++ / LiveSpec.HOSTS_A_RACK), clock.nowMs());
    }
    long own = term;
    workers.values().forEach(worker -> clock.after(STEP_MS, () -> keepReporting(own, worker)));
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

  private void keepReporting(long ofTerm, LiveWorker worker) {
    if (ofTerm == term && decider.isPresent()) {
      report(ofTerm, worker);
      clock.after(REPORT_EVERY_MS, () -> keepReporting(ofTerm, worker));
    }
  }

  private void report(long ofTerm, LiveWorker worker) {
    if (ofTerm != term || decider.isEmpty()) {
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
      looks++;
    }
  }

  // A gang moves at the speed of its slowest member, and only once all of them are there.
  private void moveTasks() {
    Map<String, List<LiveWorker.Held>> gangs = new HashMap<>();
    Map<String, Double> speeds = new HashMap<>();
    for (LiveWorker worker : workers.values()) {
      for (LiveWorker.Held run : worker.held()) {
        String unit = unit(run.order.task(), run.job);
        gangs.computeIfAbsent(unit, key -> new ArrayList<>()).add(run);
        speeds.merge(unit, worker.speed(), Math::min);
      }
    }
    gangs.forEach((unit, runs) -> move(runs, speeds.get(unit)));
  }

  private static String unit(TaskName task, LiveJob job) {
    return job.job().steps().get(0).gang() ? task.jobId() : task.jobId() + "." + task.index();
  }

  private void move(List<LiveWorker.Held> runs, double speed) {
    int whole = runs.get(0).job.job().steps().get(0).tasksInGroup();
    if (runs.size() < whole) {
      return;
    }
    for (LiveWorker.Held run : runs) {
      run.workedMs += STEP_MS * speed;
      spentMs += STEP_MS * LiveWorker.accelerators(run);
    }
    if (runs.get(0).over()) {
      runs.forEach(run -> end(run.order.worker(), run.order.task(), run.order.run(), true));
    }
  }

  private void end(String id, TaskName task, int run, boolean done) {
    LiveWorker worker = workers.get(id);
    LiveWorker.Held ended = worker.end(task, run, done ? EndKind.DONE : EndKind.STOPPED);
    if (ended == null) {
      return;
    }
    lostMs += done ? 0 : LiveWorker.lostMs(ended) * LiveWorker.accelerators(ended);
    long own = term;
    clock.after(STEP_MS, () -> report(own, worker));
  }

  private CommandOutcome begin(StartCommand order) {
    LiveWorker worker = workers.get(order.worker());
    LiveJob job = byId.get(order.task().jobId());
    if (!worker.hasRoom(job)) {
      refusals++;
      return CommandOutcome.NO_ROOM;
    }
    boolean twice = workers.values().stream().anyMatch(other -> other.holds(order.task()));
    breaches += twice ? 1 : 0;
    worker.start(order, job);
    return CommandOutcome.DONE;
  }

  /** What one term's decider wants done; nothing of an earlier one is done. */
  private final class Effects implements RunEffects {
    private final long own;

    private Effects(long own) {
      this.own = own;
    }

    private void soon(Runnable task) {
      clock.after(
          STEP_MS,
          () -> {
            if (own == term && decider.isPresent()) {
              task.run();
            }
          });
    }

    @Override
    public void appendToLog(List<LogEntry> entries, Runnable whenKept) {
      soon(
          () -> {
            entries.forEach(LiveDay.this::apply);
            whenKept.run();
          });
    }

    @Override
    public void sendStart(StartCommand order) {
      soon(
          () -> {
            CommandOutcome answer = begin(order);
            decider.get().onStartOutcome(order, answer, clock.nowMs(), clock.nowMs());
          });
    }

    @Override
    public void sendStop(StopCommand order) {
      soon(
          () -> {
            stops++;
            decider.get().onStopOutcome(order, CommandOutcome.DONE, clock.nowMs(), clock.nowMs());
          });
      clock.after(
          LEAST_STOP_MS + random.nextInt(MORE_STOP_MS),
          () -> end(order.worker(), order.task(), order.run(), false));
    }

    @Override
    public void requestReport(String worker) {
      soon(() -> report(own, workers.get(worker)));
    }

    @Override
    public void requestPermits(PermitRequest question) {}

    @Override
    public void logDecision(RunEvent event) {}
  }
}
