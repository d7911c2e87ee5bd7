package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * Simulates two minutes of load on 33 hosts: bursts of live (urgent) gangs, long gangs, and wide
 * jobs of many single tasks; stopping an attempt takes a fraction of a second. Counts how many jobs
 * meet their objectives and how much work is lost.
 */
final class LoadSimulation {
  private static final int HOSTS = 33;
  private static final int HOSTS_PER_RACK = 8;
  private static final long DURATION_MS = 120_000;
  private static final int MAX_IMMEDIATE_START_MS = 250;
  private static final int[] ACCELERATORS = {1, 2, 4, 8, 8};
  private static final Objective LIVE = new Objective(1.5, 250);
  private static final Objective OTHER = new Objective(3, 1000);

  private final Scheduler scheduler;
  private final Random random;
  private final Hosts hosts;
  private final double load;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, SimulatedJob> jobs = new HashMap<>();
  private final Map<String, Decision.Start> pendingStarts = new HashMap<>();
  private final Map<String, Set<String>> victims = new HashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private long nowMs;
  private long nextEventNumber;

  /**
   * Speeds of the hosts.
   *
   * @param slowFactor factor by which tasks take longer on every third host
   * @param fastFactor factor by which tasks take longer on every other third host
   * @param speedsKnown whether the scheduler is given the speeds, as classes
   * @param ratiosKnown whether the scheduler is given the run time ratios
   */
  record Hosts(double slowFactor, double fastFactor, boolean speedsKnown, boolean ratiosKnown) {
    static final Hosts EQUAL = new Hosts(1, false);

    Hosts(double slowFactor, boolean speedsKnown) {
      this(slowFactor, 1, speedsKnown, false);
    }

    boolean isSlow(int number) {
      return number % 3 == 2;
    }

    double runTimeRatio(int number) {
      return isSlow(number) ? slowFactor : number % 3 == 0 ? fastFactor : 1;
    }
  }

  /** Results of a simulation. */
  static final class Result {
    int live;
    int liveAtOnce;
    int liveInTime;
    int others;
    int othersInTime;
    int gangs;
    int gangsInTime;
    int stops;
    long liveMs;
    double secondsLost;
    long invalidProposals;
    int decisionHash;

    @Override
    public String toString() {
      return String.format(
          "live %d at once, %d of %d in time, others %d of %d, of these long gangs %d of %d,"
              + " %d stops, %.0f s lost",
          liveAtOnce,
          liveInTime,
          live,
          othersInTime,
          others,
          gangsInTime,
          gangs,
          stops,
          secondsLost);
    }
  }

  private final Result result = new Result();

  private record Event(long atMs, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(number, other.number);
    }
  }

  private record SimulatedJob(String name, Job job, long arrivedMs, long runMs) {}

  LoadSimulation(SchedulerSettings settings, long seed) {
    this(settings, seed, Hosts.EQUAL, 1);
  }

  /**
   * Creates a simulation.
   *
   * @param load rate of arrivals; 1 is about the capacity of hosts of equal speed
   */
  LoadSimulation(SchedulerSettings settings, long seed, Hosts hosts, double load) {
    this.hosts = hosts;
    this.load = load;
    scheduler = new Scheduler(settings);
    random = new Random(seed);
    for (int i = 0; i < HOSTS; i++) {
      ResourceAmount capacity = new ResourceAmount(32_000, 1000, 8);
      scheduler
          .cluster()
          .add(new WorkerHost("host-" + i, "zone", "rack-" + i / HOSTS_PER_RACK, capacity));
      boolean slower = hosts.speedsKnown() && hosts.isSlow(i);
      scheduler.cluster().setSpeed("host-" + i, slower ? HostSpeed.SLOWER : HostSpeed.USUAL);
      if (hosts.ratiosKnown()) {
        scheduler.cluster().setRunTimeRatio("host-" + i, hosts.runTimeRatio(i));
      }
    }
    scheduler.hostsChanged();
    scheduler.setObjectives(Map.of("live", LIVE, "long", OTHER, "wide", OTHER));
    scheduler.setPolicies(
        Map.of(
            "policy",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
  }

  Result run() {
    for (long atMs = 0; atMs < DURATION_MS; atMs += 10_000) {
      scheduleArrivals("live", atMs, 5000, 0.9);
      scheduleArrivals("live", atMs + 5000, 5000, 2.4);
      scheduleArrivals("long", atMs, 10_000, 0.42);
      scheduleArrivals("wide", atMs, 10_000, 0.4);
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.task().run();
      decide();
    }
    result.invalidProposals = scheduler.invalidProposals();
    return result;
  }

  private void schedule(long atMs, Runnable task) {
    events.add(new Event(atMs, nextEventNumber++, task));
  }

  private void scheduleArrivals(String kind, long fromMs, long lengthMs, double perSecond) {
    double atMs = fromMs;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) / (perSecond * load) * 1000;
      if (atMs >= fromMs + lengthMs) {
        return;
      }
      schedule((long) atMs, () -> arrive(kind));
    }
  }

  private void arrive(String kind) {
    if (kind.equals("wide")) {
      int tasks = 4 + random.nextInt(24);
      for (int i = 0; i < tasks; i++) {
        submit(kind, 1, 1, 7600);
      }
      return;
    }
    int accelerators = ACCELERATORS[random.nextInt(ACCELERATORS.length)];
    boolean live = kind.equals("live");
    submit(kind, 1 + random.nextInt(live ? 5 : 9), accelerators, live ? 2500 : 8500);
  }

  private void submit(String kind, int tasks, int accelerators, long meanMs) {
    long runMs = (long) (meanMs * Math.exp(random.nextGaussian() * 0.35));
    boolean live = kind.equals("live");
    Job job =
        new Job(
            new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, kind)),
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            new ResourceAmount(1000, 10, accelerators),
            tasks > 1 ? Adjacency.SAME_RACK : Adjacency.ANY,
            (int) Math.max(1, meanMs / 1000),
            true,
            live,
            JobPhase.SUBMITTED);
    SimulatedJob simulated = new SimulatedJob(kind + "-" + jobs.size(), job, nowMs, runMs);
    jobs.put(simulated.name(), simulated);
    scheduler.submit(simulated.name(), job, nowMs);
  }

  private void decide() {
    for (Decision decision : scheduler.decide(nowMs)) {
      result.decisionHash = 31 * result.decisionHash + describe(decision).hashCode();
      if (decision instanceof Decision.Stop stop) {
        stop(stop.attemptId());
      } else if (decision instanceof Decision.Start start) {
        pendingStarts.put(start.attemptId(), start);
        victims.put(start.attemptId(), new HashSet<>(start.victims()));
        startIfVictimsEnded(start.attemptId());
      }
    }
  }

  private String describe(Decision decision) {
    if (decision instanceof Decision.Start start) {
      return nowMs + " " + start.attemptId() + start.placement().hosts() + start.victims();
    }
    return nowMs + " " + (decision instanceof Decision.Stop stop ? stop.attemptId() : "failed");
  }

  private void startIfVictimsEnded(String attemptId) {
    if (pendingStarts.containsKey(attemptId) && victims.get(attemptId).isEmpty()) {
      Decision.Start start = pendingStarts.remove(attemptId);
      SimulatedJob simulated = jobs.get(start.jobName());
      boolean atOnce = nowMs - simulated.arrivedMs() <= MAX_IMMEDIATE_START_MS;
      result.liveAtOnce += simulated.job().urgent() && atOnce ? 1 : 0;
      long runMs = Math.round(simulated.runMs() * slowestFactor(start.placement()));
      schedule(nowMs + runMs, () -> finish(attemptId, simulated));
    }
  }

  // The members of a gang end together, with the slowest one.
  private double slowestFactor(Placement placement) {
    return placement.hosts().stream()
        .mapToDouble(host -> hosts.runTimeRatio(Integer.parseInt(host.substring("host-".length()))))
        .max()
        .orElse(1);
  }

  private void finish(String attemptId, SimulatedJob simulated) {
    if (stopped.contains(attemptId)) {
      return;
    }
    scheduler.attemptEnded(attemptId, EndReason.SUCCEEDED, nowMs);
    boolean live = simulated.job().urgent();
    Objective objective = live ? LIVE : OTHER;
    boolean inTime = nowMs - simulated.arrivedMs() <= objective.allowedMs(simulated.runMs());
    result.live += live ? 1 : 0;
    result.liveMs += live ? nowMs - simulated.arrivedMs() : 0;
    result.liveInTime += live && inTime ? 1 : 0;
    result.others += live ? 0 : 1;
    result.othersInTime += !live && inTime ? 1 : 0;
    boolean gang = simulated.name().startsWith("long");
    result.gangs += gang ? 1 : 0;
    result.gangsInTime += gang && inTime ? 1 : 0;
    removeVictim(attemptId);
  }

  private void stop(String attemptId) {
    if (!stopped.add(attemptId)) {
      return;
    }
    result.stops++;
    long startedMs =
        scheduler.running().stream()
            .filter(attempt -> attempt.attemptId().equals(attemptId))
            .mapToLong(RunningAttempt::startedAtMs)
            .findFirst()
            .orElse(nowMs);
    result.secondsLost += (nowMs - startedMs) / 1000.0;
    schedule(nowMs + 300 + random.nextInt(600), () -> stopEnded(attemptId));
  }

  private void stopEnded(String attemptId) {
    String name = attemptId.substring(0, attemptId.indexOf('.'));
    scheduler.attemptEnded(attemptId, EndReason.INTERRUPTED, nowMs);
    SimulatedJob simulated = jobs.get(name);
    scheduler.submit(name, simulated.job(), simulated.arrivedMs());
    pendingStarts.remove(attemptId);
    removeVictim(attemptId);
  }

  private void removeVictim(String attemptId) {
    for (String waiting : new ArrayList<>(pendingStarts.keySet())) {
      if (victims.get(waiting).remove(attemptId)) {
        startIfVictimsEnded(waiting);
      }
    }
  }

  /** Returns the summed results of several seeds. */
  static Result sum(SchedulerSettings settings, int seeds) {
    return sum(settings, seeds, Hosts.EQUAL, 1);
  }

  /** Returns the summed results of several seeds with given hosts and load. */
  static Result sum(SchedulerSettings settings, int seeds, Hosts hosts, double load) {
    Result sum = new Result();
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      results.add(new LoadSimulation(settings, seed, hosts, load).run());
    }
    for (Result each : results) {
      sum.live += each.live;
      sum.liveAtOnce += each.liveAtOnce;
      sum.liveInTime += each.liveInTime;
      sum.others += each.others;
      sum.othersInTime += each.othersInTime;
      sum.gangs += each.gangs;
      sum.gangsInTime += each.gangsInTime;
      sum.stops += each.stops;
      sum.invalidProposals += each.invalidProposals;
      sum.liveMs += each.liveMs;
      sum.secondsLost += each.secondsLost;
    }
    return sum;
  }
}
