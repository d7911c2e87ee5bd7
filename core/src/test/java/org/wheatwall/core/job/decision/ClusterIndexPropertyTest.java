package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.BestFit;
import org.wheatwall.core.job.policy.PlacementRule;
import org.wheatwall.core.job.policy.RackPacking;
import org.wheatwall.core.job.policy.SpeedDemand;

/**
 * Guards against a task that waits beside a free host because an index or a count differs from what
 * the hosts hold: after each of a random sequence of changes, all that a {@link Cluster} tells
 * equals a count from nothing, and a single task gets a place whenever some host can start it.
 */
final class ClusterIndexPropertyTest {
  private static final int SEEDS = 300;
  private static final int CHANGES = 50;
  private static final int HOSTS = 10;
  private static final int RACKS = 4;
  private static final int MOST_TASKS = 5;
  private static final int CHANGES_TOLD = 12;
  private static final int PROBE_SPREAD_LIMIT = 1000;
  private static final ResourceAmount ONE_PROCESSOR = new ResourceAmount(1, 0, 0);
  private static final List<Double> RUN_TIME_RATIOS = List.of(0.6, 0.8, 1.0, 1.0, 1.3, 1.6, 5.0);
  private static final List<String> SPREAD_GROUPS = List.of("group-0", "group-1");
  private static final List<HostSharing> SHARINGS = List.of(HostSharing.values());
  private static final List<Adjacency> ADJACENCIES = List.of(Adjacency.values());
  private static final List<PlacementRule> RULES = List.of(new RackPacking(), new BestFit());

  private final Deque<String> changes = new ArrayDeque<>();
  private Random random;
  private Cluster cluster;
  private ClusterModel model;
  private int nextAttempt;
  private long seed;
  private int change;

  @Test
  void indexesAndCountsEqualWhatTheHostsHold() {
    long first = Long.getLong("wheatwall.seed", 1);
    int count = Integer.getInteger("wheatwall.schedules", SEEDS);
    for (seed = first; seed < first + count; seed++) {
      checkSequence();
    }
  }

  private void checkSequence() {
    random = new Random(seed);
    cluster = new Cluster();
    model = new ClusterModel();
    changes.clear();
    for (change = 0; change < CHANGES; change++) {
      change();
      check();
    }
    // Whatever was counted too often is left over once nothing is held.
    for (String attempt : model.attempts()) {
      release(attempt);
      check();
    }
  }

  @Override
  public String toString() {
    return "seed " + seed + ", change " + change + ", the last of " + changes;
  }

  private void check() {
    model.recount();
    checkHosts();
    checkRacks();
    checkTotals();
    checkPlacementOfSingleTask();
  }

  private void change() {
    switch (random.nextInt(14)) {
      case 0, 1, 2 -> add(anyHost());
      case 3 -> remove(anyHost());
      case 4 -> setUsable(anyHost(), random.nextInt(3) > 0);
      case 5, 6 -> setRunTimeRatio(anyHost(), anyOf(RUN_TIME_RATIOS));
      case 7 -> setOnProbation(anyHost(), random.nextInt(3) == 0);
      case 8, 9, 10 -> hold();
      case 11 -> anyAttempt().ifPresent(this::releaseTask);
      case 12 -> anyAttempt().ifPresent(this::release);
      default -> anyAttempt().ifPresent(this::moveTasks);
    }
  }

  private void add(String name) {
    String home = "rack-" + name.charAt(name.length() - 1) % RACKS;
    String rack = random.nextInt(4) > 0 ? home : anyRack();
    ResourceAmount capacity =
        new ResourceAmount(
            1 + random.nextInt(64), 100 * (1 + random.nextInt(10)), random.nextInt(9));
    WorkerHost host = new WorkerHost(name, "zone", rack, capacity);
    record("add " + host);
    cluster.add(host);
    model.add(host);
  }

  private void remove(String host) {
    record("remove " + host);
    cluster.remove(host);
    model.remove(host);
  }

  private void setUsable(String host, boolean usable) {
    record(host + " usable " + usable);
    cluster.setUsable(host, usable);
    model.setUsable(host, usable);
  }

  private void setRunTimeRatio(String host, double ratio) {
    record(host + " run time ratio " + ratio);
    cluster.setRunTimeRatio(host, ratio);
    model.setRunTimeRatio(host, ratio);
  }

  private void setOnProbation(String host, boolean onProbation) {
    record(host + " on probation " + onProbation);
    cluster.setOnProbation(host, onProbation);
    model.setOnProbation(host, onProbation);
  }

  private void hold() {
    String attempt = "attempt-" + nextAttempt++;
    List<String> hosts = new ArrayList<>();
    for (int i = random.nextInt(MOST_TASKS); i >= 0; i--) {
      hosts.add(anyHost());
    }
    Job job = job(hosts.size(), anyOptions());
    Placement placement = new Placement(hosts);
    record("hold " + attempt + " " + hosts + " " + job.taskAmount() + " " + job.options());
    model.hold(attempt, hosts, job);
    if (random.nextInt(4) == 0) {
      cluster.hold(attempt, placement, job.taskAmount(), job.reclaimable());
      return;
    }
    cluster.hold(attempt, placement, job);
    model.applyJobOptions(attempt);
  }

  private void releaseTask(String attempt) {
    String host = heldHost(attempt);
    record("release task of " + attempt + " on " + host);
    cluster.releaseTask(attempt, host);
    model.releaseTask(attempt, host);
  }

  private void release(String attempt) {
    record("release " + attempt);
    cluster.release(attempt);
    model.release(attempt);
  }

  private void moveTasks(String attempt) {
    String from = heldHost(attempt);
    String to = random.nextBoolean() ? anyHost() : heldHost(attempt);
    record("move " + attempt + " from " + from + " to " + to);
    cluster.moveTasks(attempt, from, to);
    model.moveTasks(attempt, from, to);
  }

  private void record(String change) {
    changes.addLast(change);
    if (changes.size() > CHANGES_TOLD) {
      changes.removeFirst();
    }
  }

  private void checkHosts() {
    assertWithMessage("%s: hosts", this)
        .that(names(cluster.hosts(), HostState::name))
        .isEqualTo(names(model.hosts(), ClusterModel.Host::name));
    for (ClusterModel.Host expected : model.hosts()) {
      HostState host = cluster.host(expected.name()).orElseThrow();
      String name = expected.name();
      assertWithMessage("%s: %s used", this, name)
          .that(host.used())
          .isEqualTo(model.used(expected));
      assertWithMessage("%s: %s free", this, name)
          .that(host.free())
          .isEqualTo(model.free(expected));
      assertWithMessage("%s: %s reclaimable or free", this, name)
          .that(host.reclaimableOrFree())
          .isEqualTo(model.reclaimableOrFree(expected));
      assertWithMessage("%s: %s attempts", this, name)
          .that(Set.copyOf(host.attempts()))
          .isEqualTo(model.attemptsOn(expected));
      assertWithMessage("%s: %s run time ratio", this, name)
          .that(host.runTimeRatio())
          .isEqualTo(expected.runTimeRatio());
      checkCounts(host, expected);
    }
    assertWithMessage("%s: hosts by free accelerators", this)
        .that(groups(cluster.hostsWithFree(0), HostState::name))
        .isEqualTo(List.copyOf(model.hostsByFree().values()));
    int free = 1 + random.nextInt(8);
    assertWithMessage("%s: hosts with %s free accelerators", this, free)
        .that(groups(cluster.hostsWithFree(free), HostState::name))
        .isEqualTo(List.copyOf(model.hostsByFree().tailMap(free, true).values()));
  }

  private void checkCounts(HostState host, ClusterModel.Host expected) {
    String name = host.name();
    for (String group : SPREAD_GROUPS) {
      Job probe = probe(Optional.of(group), HostSharing.ORDINARY, false);
      int remaining =
          host.capacityFor(probe, ONE_PROCESSOR.times(2 * PROBE_SPREAD_LIMIT)).processors();
      assertWithMessage("%s: %s tasks of %s", this, name, group)
          .that(PROBE_SPREAD_LIMIT - remaining)
          .isEqualTo(model.tasksOfSpreadGroup(expected, group));
    }
    for (HostSharing sharing : SHARINGS) {
      assertWithMessage("%s: %s takes %s", this, name, sharing)
          .that(takes(host, sharing, false))
          .isEqualTo(model.mayShare(expected, sharing));
    }
    assertWithMessage("%s: %s takes suspects", this, name)
        .that(takes(host, HostSharing.ORDINARY, true))
        .isEqualTo(!model.holdsSuspects(expected));
  }

  private static boolean takes(HostState host, HostSharing sharing, boolean suspect) {
    Job probe = probe(Optional.empty(), sharing, suspect);
    return host.capacityFor(probe, ONE_PROCESSOR).equals(ONE_PROCESSOR);
  }

  private void checkRacks() {
    assertWithMessage("%s: racks", this)
        .that(names(cluster.racks(), RackState::name))
        .isEqualTo(model.racks());
    for (RackState rack : cluster.racks()) {
      String name = rack.name();
      assertWithMessage("%s: %s hosts", this, name)
          .that(names(rack.hosts(), HostState::name))
          .isEqualTo(model.hostsIn(rack.name()));
      assertWithMessage("%s: %s free", this, name)
          .that(rack.freeAccelerators())
          .isEqualTo(model.freeIn(rack.name()));
      int freeUpTo = 0;
      for (int i = 0; i < RunTimeClass.COUNT; i++) {
        int free = model.freeIn(rack.name(), i);
        freeUpTo += free;
        assertWithMessage("%s: %s free of class %s", this, name, i)
            .that(rack.freeOf(i))
            .isEqualTo(free);
        assertWithMessage("%s: %s free up to class %s", this, name, i)
            .that(rack.freeUpTo(i))
            .isEqualTo(freeUpTo);
        assertWithMessage("%s: %s hosts of class %s", this, name, i)
            .that(rack.hostsOf(i))
            .isEqualTo(model.hostsOf(rack.name(), i));
      }
    }
    assertWithMessage("%s: racks by free accelerators", this)
        .that(groups(cluster.racksWithFree(0), RackState::name))
        .isEqualTo(List.copyOf(model.racksByFree().values()));
    for (int i = 0; i < RunTimeClass.COUNT; i++) {
      NavigableMap<Integer, Set<String>> byFree = new TreeMap<>();
      cluster
          .racksByFree(i)
          .forEach((free, racks) -> byFree.put(free, names(racks, RackState::name)));
      assertWithMessage("%s: racks of class %s", this, i)
          .that(byFree)
          .isEqualTo(model.racksByFree(i));
    }
  }

  private void checkTotals() {
    assertWithMessage("%s: total accelerators", this)
        .that(cluster.totalAccelerators())
        .isEqualTo(model.totalAccelerators());
    assertWithMessage("%s: free accelerators", this)
        .that(cluster.freeAccelerators())
        .isEqualTo(model.freeAccelerators());
    assertWithMessage("%s: run times differ", this)
        .that(cluster.runTimesDiffer())
        .isEqualTo(model.runTimesDiffer());
    CapacityInUse inUse = cluster.capacityInUse();
    ResourceAmount usable = model.usableCapacity();
    assertWithMessage("%s: usable accelerators", this)
        .that(inUse.usableAccelerators())
        .isEqualTo(usable.accelerators());
    assertWithMessage("%s: usable processors", this)
        .that(inUse.usableProcessors())
        .isEqualTo(usable.processors());
    assertWithMessage("%s: usable memory", this)
        .that(inUse.usableMemoryMb())
        .isEqualTo(usable.memoryMb());
    assertWithMessage("%s: less than half in use", this)
        .that(inUse.isLessThanHalf())
        .isEqualTo(model.isLessThanHalfInUse());
  }

  private void checkPlacementOfSingleTask() {
    Job job = job(1, anyOptions());
    checkPlacement(job, SpeedDemand.LEAST_SLOW);
    checkPlacement(job, new SpeedDemand(anyOf(RUN_TIME_RATIOS), random.nextBoolean()));
  }

  private void checkPlacement(Job job, SpeedDemand demand) {
    for (PlacementRule rule : RULES) {
      // As long as all hosts are equal, each is fast enough.
      boolean speedCounts = rule instanceof RackPacking && model.runTimesDiffer();
      Set<String> hosts =
          model.hostsFor(job, speedCounts ? demand.maxRunTimeRatio() : Double.POSITIVE_INFINITY);
      Optional<Placement> placement = rule.place(job, cluster, demand);
      assertWithMessage("%s: %s of %s, %s: hosts %s can start it", this, rule, job, demand, hosts)
          .that(placement.isPresent())
          .isEqualTo(!hosts.isEmpty());
      placement.ifPresent(
          found ->
              assertWithMessage("%s: %s of %s, %s", this, rule, job, demand)
                  .that(hosts)
                  .containsAtLeastElementsIn(found.hosts()));
    }
  }

  private Job job(int tasks, JobOptions options) {
    ResourceAmount amount =
        new ResourceAmount(1 + random.nextInt(20), random.nextInt(300), random.nextInt(5));
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            amount,
            anyOf(ADJACENCIES),
            10,
            random.nextBoolean(),
            random.nextInt(4) == 0,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  // Asks a host for the tasks of one processor that it takes.
  private static Job probe(Optional<String> spreadGroup, HostSharing sharing, boolean suspect) {
    JobOptions options =
        new JobOptions(
            0,
            Set.of(),
            Optional.empty(),
            spreadGroup,
            PROBE_SPREAD_LIMIT,
            false,
            Set.of(),
            sharing,
            Optional.empty(),
            suspect);
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            1,
            ONE_PROCESSOR,
            Adjacency.ANY,
            10,
            false,
            false,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private JobOptions anyOptions() {
    return new JobOptions(
        0,
        Set.of(),
        random.nextInt(4) > 0 ? Optional.empty() : Optional.of(anyRack()),
        random.nextBoolean() ? Optional.empty() : Optional.of(anyOf(SPREAD_GROUPS)),
        random.nextInt(4),
        false,
        random.nextInt(4) > 0 ? Set.of() : Set.of(anyHost()),
        anyOf(SHARINGS),
        random.nextInt(4) > 0 ? Optional.empty() : Optional.of(Set.of(anyHost())),
        random.nextInt(4) == 0);
  }

  private String anyHost() {
    return "host-" + random.nextInt(HOSTS);
  }

  private String anyRack() {
    return "rack-" + random.nextInt(RACKS);
  }

  private Optional<String> anyAttempt() {
    List<String> attempts = model.attempts();
    return attempts.isEmpty() ? Optional.empty() : Optional.of(anyOf(attempts));
  }

  // A host that holds a task of the attempt, listed or not; any host if none does.
  private String heldHost(String attempt) {
    List<String> hosts = model.taskHosts(attempt);
    return hosts.isEmpty() ? anyHost() : anyOf(hosts);
  }

  private <T> T anyOf(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private static <T> Set<String> names(Collection<T> values, Function<T, String> name) {
    Set<String> names = new TreeSet<>();
    values.forEach(value -> names.add(name.apply(value)));
    return names;
  }

  private static <T> List<Set<String>> groups(
      Collection<NavigableSet<T>> groups, Function<T, String> name) {
    List<Set<String>> named = new ArrayList<>();
    groups.forEach(group -> named.add(names(group, name)));
    return named;
  }
}
