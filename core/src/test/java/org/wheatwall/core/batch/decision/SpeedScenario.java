package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.core.job.model.SpeedAwareSettings;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/** A supervisor with workers of different speeds that report once per second. */
final class SpeedScenario {
  static final long WALL_MS = 1_000_000;
  static final int TASKS_PER_WORKER = 4;

  private static final int REPORT_MS = 1000;
  private static final int STEP_MS = 100;
  private static final int SIBLINGS = 16;
  private static final double MEDIAN_WORK_MS = 2500;
  private static final double JOB_SPREAD = 0.3;
  private static final double SIBLING_SPREAD = 0.15;

  final RecordedEffects effects = new RecordedEffects();
  final List<Worker> workers = new ArrayList<>();
  final RunTimeTracker runTimes = new RunTimeTracker(true);
  RunSupervisor supervisor;
  // Time by which reports reach the decider late.
  int reportDelayMs;
  long nowMs = 100;
  boolean busy = true;
  private final boolean enabled;
  private final Random random = new Random(11);
  private final Map<String, Double> workOfJob = new HashMap<>();
  private int startsSeen;
  private int stopsSeen;
  private int jobs;
  private final List<Runnable> delayed = new ArrayList<>();
  private final List<Long> delayedUntilMs = new ArrayList<>();

  /** A simulated worker. */
  static final class Worker {
    final String id;
    double slowness;
    boolean silent;
    // What it reports of its progress, by default the truth.
    java.util.function.IntUnaryOperator reportedPercent = percent -> percent;
    private final Map<TaskName, Task> tasks = new HashMap<>();
    private final List<WorkerInventory.EndedTask> ended = new ArrayList<>();
    private long ends;

    Worker(String id, double slowness) {
      this.id = id;
      this.slowness = slowness;
    }
  }

  private static final class Task {
    private final int run;
    private final double workMs;
    private double doneMs;
    private boolean fails;

    private Task(int run, double workMs, double doneMs) {
      this.run = run;
      this.workMs = workMs;
      this.doneMs = doneMs;
    }

    private int percent() {
      return (int) Math.min(100, doneMs * 100 / workMs);
    }
  }

  SpeedScenario(boolean enabled, double... slowness) {
    this.enabled = enabled;
    this.supervisor = newSupervisor(7, runTimes);
    for (int i = 0; i < slowness.length; i++) {
      workers.add(new Worker("w" + i, slowness[i]));
    }
    workers.forEach(this::list);
  }

  private RunSupervisor newSupervisor(long term, RunTimeTracker tracker) {
    SchedulingFeatures features =
        new SchedulingFeatures(
            new SpeedAwareSettings(enabled),
            WorkspaceShareSettings.DISABLED,
            AdmissionSettings.DISABLED);
    SchedulerSettings settings =
        new SchedulerSettings(
            600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 0, Mechanisms.ALL, features);
    return new RunSupervisor(
        SupervisorSettings.of(6000, 60_000), settings, effects, term, nowMs, 0, tracker);
  }

  /** Begins the term of another decider, which has read the given table from the log. */
  void takeOver(JobTable table, RunTimeTracker tracker) {
    supervisor = newSupervisor(8, tracker);
    supervisor.adopt(table, nowMs, WALL_MS);
    workers.forEach(this::list);
  }

  void list(Worker worker) {
    ResourceAmount capacity = new ResourceAmount(TASKS_PER_WORKER * 100, 1000, TASKS_PER_WORKER);
    supervisor.listWorker(
        new WorkerInfo(worker.id, "127.0.0.1:1", "s", "z", "r1", Set.of(), capacity, false), nowMs);
    report(worker);
  }

  /** Runs for some time; while it is busy, new jobs of gangs and single tasks are submitted. */
  void run(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      nowMs += STEP_MS;
      if (busy && supervisor.scheduler().waiting().isEmpty()) {
        submit(SIBLINGS, jobs % 2 == 0, MEDIAN_WORK_MS);
      }
      supervisor.tick(nowMs, WALL_MS);
      if (supervisor.isDecisionDue(nowMs)) {
        supervisor.decide(nowMs, WALL_MS);
      }
      effects.acknowledgeAll();
      carryOut();
      for (int i = 0; i < workers.size(); i++) {
        Worker worker = workers.get(i);
        advance(worker);
        boolean due = (nowMs / STEP_MS + i) % (REPORT_MS / STEP_MS) == 0;
        if (!worker.silent && (due || !worker.ended.isEmpty())) {
          report(worker);
        }
      }
      deliverDelayed();
    }
  }

  /** Submits a job of one step; returns its identifier. */
  String submit(int tasks, boolean gang, double workMs) {
    String id = String.format("%016x", ++jobs);
    StepSpec step =
        new StepSpec(
            tasks,
            new ResourceAmount(100, 10, 1),
            1000,
            List.of(),
            true,
            gang,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    workOfJob.put(id, workMs * Math.exp(random.nextGaussian() * JOB_SPREAD));
    supervisor.accept(
        new BatchJob(id, "q", "s", "w", "", List.of(step), Optional.empty(), 1, 9, WALL_MS),
        nowMs,
        WALL_MS);
    return id;
  }

  private void carryOut() {
    for (; startsSeen < effects.starts.size(); startsSeen++) {
      StartCommand command = effects.starts.get(startsSeen);
      Worker worker = find(command.worker());
      double workMs =
          workOfJob.get(command.task().jobId()) * Math.exp(random.nextGaussian() * SIBLING_SPREAD);
      double doneMs = command.checkpoint().isEmpty() ? 0 : workMs / 2;
      worker.tasks.put(command.task(), new Task(command.run(), workMs, doneMs));
      supervisor.onStartOutcome(command, CommandOutcome.DONE, nowMs, WALL_MS);
    }
    for (; stopsSeen < effects.stops.size(); stopsSeen++) {
      StopCommand command = effects.stops.get(stopsSeen);
      end(find(command.worker()), command.task(), EndKind.STOPPED, "half");
    }
  }

  Worker find(String id) {
    return workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElseThrow();
  }

  private static void end(Worker worker, TaskName name, EndKind kind, String checkpoint) {
    Task task = worker.tasks.remove(name);
    if (task != null) {
      worker.ended.add(
          new WorkerInventory.EndedTask(++worker.ends, name, task.run, kind, checkpoint));
    }
  }

  private void advance(Worker worker) {
    for (Map.Entry<TaskName, Task> entry : List.copyOf(worker.tasks.entrySet())) {
      Task task = entry.getValue();
      task.doneMs += STEP_MS / worker.slowness;
      boolean gangDone =
          workers.stream()
              .flatMap(other -> other.tasks.entrySet().stream())
              .filter(other -> other.getKey().jobId().equals(entry.getKey().jobId()))
              .allMatch(other -> other.getValue().doneMs >= other.getValue().workMs);
      boolean gang = Long.parseLong(entry.getKey().jobId(), 16) % 2 == 1;
      if (task.fails && task.percent() >= 50) {
        end(worker, entry.getKey(), EndKind.FAILED, "");
      } else if (task.doneMs >= task.workMs && (!gang || gangDone)) {
        end(worker, entry.getKey(), EndKind.DONE, "");
      }
    }
  }

  /** Makes the tasks that run on a worker now fail halfway. */
  void failTasksOf(Worker worker) {
    worker.tasks.values().forEach(task -> task.fails = true);
  }

  private void report(Worker worker) {
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    worker.tasks.forEach(
        (name, task) ->
            running.add(
                new WorkerInventory.RunningTask(
                    name, task.run, "", worker.reportedPercent.applyAsInt(task.percent()))));
    WorkerInventory inventory = new WorkerInventory(nowMs, running, List.copyOf(worker.ended));
    worker.ended.clear();
    long requestedAtMs = nowMs - 1;
    delayed.add(() -> supervisor.onReport(worker.id, inventory, requestedAtMs, nowMs, WALL_MS));
    delayedUntilMs.add(nowMs + reportDelayMs);
    deliverDelayed();
  }

  private void deliverDelayed() {
    while (!delayed.isEmpty() && delayedUntilMs.get(0) <= nowMs) {
      delayedUntilMs.remove(0);
      delayed.remove(0).run();
    }
  }

  double ratio(Worker worker) {
    return supervisor.scheduler().cluster().host(worker.id).orElseThrow().runTimeRatio();
  }

  List<RunEvent> events(RunEvent.Kind kind) {
    return effects.events.stream().filter(event -> event.kind() == kind).toList();
  }
}
