package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/**
 * Simulates workspaces of unequal demand on 33 hosts that two of the larger tasks fill by memory
 * and processors while accelerators stay free: urgent gangs, long gangs, and wide jobs of single
 * tasks. Tells per workspace how many jobs meet their objective and how late they start.
 */
final class WorkspaceLoadSimulation {
  private static final int HOSTS = 33;
  private static final int HOSTS_PER_RACK = 8;
  private static final long DURATION_MS = 120_000;
  private static final int PASS_INTERVAL_MS = 200;
  // A class earns less the later its jobs end, nothing after this multiple of the objective.
  private static final int WORTHLESS_AFTER = 3;
  private static final Objective URGENT = new Objective(1.5, 250);
  private static final Objective OTHER = new Objective(3, 1000);
  private static final int MAX_MS = 3_600_000;

  private final Scheduler scheduler;
  private final Random random;
  private final Load load;
  private final double[] cumulative;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, SimulatedJob> jobs = new HashMap<>();
  private final Map<String, Set<String>> victims = new HashMap<>();
  private final Map<String, Decision.Start> pending = new HashMap<>();
  private final Map<String, Long> startedMs = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Map<String, Tally> tallies = new TreeMap<>();
  private long nowMs;
  private long nextNumber;
  private int stops;
  private double acceleratorSecondsLost;
  private double acceleratorSecondsDone;
  private long lastEndMs;

  /**
   * What is offered.
   *
   * @param skew exponent of the demand of workspaces by rank; 0 for equal demand
   * @param factor rate of arrivals; 1 is about the capacity
   */
  record Load(int workspaces, double skew, double factor) {}

  /** Results of one workspace. */
  static final class Tally {
    int jobs;
    int inTime;
    double credit;
    double startDelayMs;
    double objectives;

    double earned() {
      return jobs == 0 ? 1 : credit / jobs;
    }
  }

  private record Event(long atMs, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(number, other.number);
    }
  }

  private record SimulatedJob(
      String name, Job job, Objective objective, long arrivedMs, long runMs) {}

  static SchedulerSettings settings(Optional<WorkspaceShareSettings> shares) {
    SchedulingFeatures none = SchedulingFeatures.NONE;
    SchedulingFeatures features =
        new SchedulingFeatures(
            none.speedAware(), shares.orElse(WorkspaceShareSettings.DISABLED), none.admission());
    return new SchedulerSettings(
        600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 45, Mechanisms.ALL, features);
  }

  WorkspaceLoadSimulation(SchedulerSettings settings, long seed, Load load) {
    this.load = load;
    random = new Random(seed);
    scheduler = new Scheduler(settings);
    for (int i = 0; i < HOSTS; i++) {
      ResourceAmount capacity = new ResourceAmount(32_000, 1000, 8);
      scheduler
          .cluster()
          .add(new WorkerHost("host-" + i, "zone", "rack-" + i / HOSTS_PER_RACK, capacity));
    }
    scheduler.hostsChanged();
    scheduler.setObjectives(Map.of("live", URGENT, "long", OTHER, "wide", OTHER));
    scheduler.setPolicies(
        Map.of(
            "policy",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
    cumulative = new double[load.workspaces()];
    double sum = 0;
    for (int i = 0; i < load.workspaces(); i++) {
      sum += Math.pow(i + 1, -load.skew());
      cumulative[i] = sum;
    }
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** Runs until every job has ended. */
  WorkspaceLoadSimulation run() {
    scheduleArrivals("live", 3);
    scheduleArrivals("long", 1);
    scheduleArrivals("wide", 0.8);
    long nextPassMs = 0;
    while (!events.isEmpty()) {
      Event event = events.poll();
      while (nextPassMs <= event.atMs()) {
        nowMs = nextPassMs;
        decide();
        nextPassMs += PASS_INTERVAL_MS;
      }
      if (event.atMs() > MAX_MS) {
        throw new IllegalStateException("jobs remain: " + scheduler.waiting().size());
      }
      nowMs = event.atMs();
      event.task().run();
      if (events.isEmpty() && !scheduler.waiting().isEmpty()) {
        schedule(nowMs + PASS_INTERVAL_MS, () -> {});
      }
    }
    return this;
  }

  private void schedule(long atMs, Runnable task) {
    events.add(new Event(atMs, nextNumber++, task));
  }

  private void scheduleArrivals(String kind, double perSecond) {
    double atMs = 0;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) / (perSecond * load.factor()) * 1000;
      if (atMs >= DURATION_MS) {
        return;
      }
      double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
      int workspace = 0;
      while (cumulative[workspace] < drawn) {
        workspace++;
      }
      String name = "workspace-" + workspace;
      schedule((long) atMs, () -> arrive(kind, name));
    }
  }

  private void arrive(String kind, String workspace) {
    switch (kind) {
      case "live" -> submit(kind, workspace, 1 + random.nextInt(4), small(), 2500);
      case "long" -> submit(kind, workspace, 1 + random.nextInt(8), large(), 8500);
      default -> {
        int tasks = 4 + random.nextInt(24);
        for (int i = 0; i < tasks; i++) {
          submit(kind, workspace, 1, small(), 7600);
        }
      }
    }
  }

  private ResourceAmount small() {
    return new ResourceAmount(4000, 100, 1 + random.nextInt(2));
  }

  // Two of these fill a host by memory and processors and leave two accelerators.
  private static ResourceAmount large() {
    return new ResourceAmount(16_000, 500, 3);
  }

  /** Submits a job now. */
  void submit(String kind, String workspace, int tasks, ResourceAmount amount, long meanMs) {
    long runMs = (long) (meanMs * Math.exp(random.nextGaussian() * 0.35));
    boolean live = kind.equals("live");
    Job job =
        new Job(
            new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, kind)),
            workspace,
            "zone",
            Optional.empty(),
            tasks,
            amount,
            tasks > 1 ? Adjacency.SAME_RACK : Adjacency.ANY,
            (int) Math.max(1, meanMs / 1000),
            true,
            live,
            JobPhase.SUBMITTED,
            JobOptions.NONE);
    String name = kind + "-" + jobs.size();
    jobs.put(name, new SimulatedJob(name, job, live ? URGENT : OTHER, nowMs, runMs));
    scheduler.submit(name, job, nowMs);
  }

  private void decide() {
    for (Decision decision : scheduler.decide(nowMs)) {
      if (decision instanceof Decision.Stop stop) {
        stop(stop.attemptId());
      } else if (decision instanceof Decision.Start start) {
        pending.put(start.attemptId(), start);
        victims.put(start.attemptId(), new HashSet<>(start.victims()));
        startIfVictimsEnded(start.attemptId());
      }
    }
  }

  private void startIfVictimsEnded(String attemptId) {
    if (pending.containsKey(attemptId) && victims.get(attemptId).isEmpty()) {
      SimulatedJob simulated = jobs.get(pending.remove(attemptId).jobName());
      startedMs.put(attemptId, nowMs);
      schedule(nowMs + simulated.runMs(), () -> finish(attemptId, simulated));
    }
  }

  private void finish(String attemptId, SimulatedJob simulated) {
    if (!ended.add(attemptId)) {
      return;
    }
    scheduler.attemptEnded(attemptId, EndReason.SUCCEEDED, nowMs);
    long allowedMs = simulated.objective().allowedMs(simulated.runMs());
    double lateness = (double) (nowMs - simulated.arrivedMs()) / allowedMs;
    Tally tally = tallies.computeIfAbsent(simulated.job().workspace(), name -> new Tally());
    tally.jobs++;
    tally.inTime += lateness <= 1 ? 1 : 0;
    tally.credit += Math.max(0, Math.min(1, (WORTHLESS_AFTER - lateness) / (WORTHLESS_AFTER - 1)));
    tally.startDelayMs += nowMs - simulated.runMs() - simulated.arrivedMs();
    tally.objectives += lateness;
    acceleratorSecondsDone += simulated.runMs() / 1000.0 * simulated.job().totalAccelerators();
    lastEndMs = nowMs;
    removeVictim(attemptId);
  }

  private void stop(String attemptId) {
    stops++;
    schedule(nowMs + 300 + random.nextInt(600), () -> stopEnded(attemptId));
  }

  private void stopEnded(String attemptId) {
    if (!ended.add(attemptId)) {
      return;
    }
    SimulatedJob simulated = jobs.get(attemptId.substring(0, attemptId.indexOf('.')));
    long ranMs = nowMs - startedMs.getOrDefault(attemptId, nowMs);
    acceleratorSecondsLost += ranMs / 1000.0 * simulated.job().totalAccelerators();
    scheduler.attemptEnded(attemptId, EndReason.INTERRUPTED, nowMs);
    scheduler.submit(simulated.name(), simulated.job(), simulated.arrivedMs());
    pending.remove(attemptId);
    removeVictim(attemptId);
  }

  private void removeVictim(String attemptId) {
    for (String waiting : new ArrayList<>(pending.keySet())) {
      if (victims.get(waiting).remove(attemptId)) {
        startIfVictimsEnded(waiting);
      }
    }
  }

  /** Returns the share of the credit that workspaces earned, each counted alike. */
  double meanEarned() {
    return tallies.values().stream().mapToDouble(Tally::earned).average().orElse(1);
  }

  /** Returns the share of the credit that the workspace with the least share earned. */
  double worstEarned() {
    return tallies.values().stream().mapToDouble(Tally::earned).min().orElse(1);
  }

  /** Returns the share of the credit of all jobs that was earned. */
  double earned() {
    double credit = tallies.values().stream().mapToDouble(tally -> tally.credit).sum();
    return credit / tallies.values().stream().mapToInt(tally -> tally.jobs).sum();
  }

  Map<String, Tally> tallies() {
    return tallies;
  }

  double meanStartDelayMs(String workspace) {
    Tally tally = tallies.get(workspace);
    return tally.startDelayMs / tally.jobs;
  }

  /** Returns the longest mean delay of the starts of a workspace. */
  double worstStartDelayMs() {
    return tallies.keySet().stream().mapToDouble(this::meanStartDelayMs).max().orElse(0);
  }

  double acceleratorSecondsPerSecond() {
    return acceleratorSecondsDone / lastEndMs * 1000;
  }

  double acceleratorSecondsLost() {
    return acceleratorSecondsLost;
  }

  int jobsEnded() {
    return tallies.values().stream().mapToInt(tally -> tally.jobs).sum();
  }

  int jobsSubmitted() {
    return jobs.size();
  }

  @Override
  public String toString() {
    double meanDelay =
        tallies.keySet().stream().mapToDouble(this::meanStartDelayMs).average().orElse(0);
    return String.format(
        "earned %.3f, mean of workspaces %.3f, worst %.3f, in time %d of %d, start delay mean %.1f s"
            + " worst %.1f s, %d stops, %.0f lost, %.1f per s",
        earned(),
        meanEarned(),
        worstEarned(),
        tallies.values().stream().mapToInt(tally -> tally.inTime).sum(),
        jobsEnded(),
        meanDelay / 1000,
        worstStartDelayMs() / 1000,
        stops,
        acceleratorSecondsLost,
        acceleratorSecondsPerSecond());
  }
}
