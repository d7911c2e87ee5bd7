package org.wheatwall.core.job.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import org.wheatwall.core.job.decision.ClusterView;
import org.wheatwall.core.job.decision.GangFitter;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.decision.RunTimeClass;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * One search for a placement on hosts that are fast enough. A gang is as slow as its slowest
 * member, so hosts of like speed in one rack come first, then hosts of several speeds in one rack,
 * then, if the gang may span racks, any. Of equal racks and hosts, the fullest is chosen.
 */
final class FastEnoughPlacement {
  // In a class of which only some hosts are fast enough, the free capacity says little about a
  // rack, so that the search could examine every one in vain.
  private static final int MAX_RACKS_OF_MIXED_CLASS = 16;
  private static final int MAX_RACKS_COMPARED = 16;
  // A search for hosts that are fast enough is followed by one without that demand, so it must cost
  // little also if it is in vain.
  private static final int MAX_RACKS_EXAMINED = 64;

  private static final Comparator<HostState> FULLEST_FIRST =
      Comparator.comparingInt((HostState host) -> host.free().accelerators())
          .thenComparingInt(HostState::index);

  private final Job job;
  private final ClusterView cluster;
  private final SpeedDemand demand;
  private final int slowestClass;

  FastEnoughPlacement(Job job, ClusterView cluster, SpeedDemand demand) {
    this.job = job;
    this.cluster = cluster;
    this.demand = demand;
    this.slowestClass = RunTimeClass.of(demand.maxRunTimeRatio());
  }

  /** A placement and the class of its slowest hosts. */
  private record Paced(Placement placement, int runTimeClass) {}

  Optional<Placement> find() {
    if (job.adjacency() == Adjacency.SAME_HOST) {
      return onOneHost();
    }
    Optional<Paced> equal = onEqualHosts();
    // Without a bound the least slow placement is wanted, also if its hosts differ in speed.
    boolean searchMixed = job.tasks() > 1 && (equal.isEmpty() || !demand.isBounded());
    int mixedLimit = equal.map(found -> found.runTimeClass() - 1).orElse(slowestClass);
    Optional<Paced> mixed = searchMixed ? onMixedHosts(mixedLimit) : Optional.empty();
    Optional<Placement> inRack = mixed.or(() -> equal).map(Paced::placement);
    boolean spansRacks = job.tasks() > 1 && job.adjacency() == Adjacency.ANY;
    return inRack.isEmpty() && spansRacks ? anywhere() : inRack;
  }

  private Optional<Paced> onEqualHosts() {
    for (int i = 0; i <= slowestClass; i++) {
      int runTimeClass = demand.fastestFirst() ? i : slowestClass - i;
      Optional<Placement> placement = onHostsOf(runTimeClass);
      if (placement.isPresent()) {
        return Optional.of(new Paced(placement.get(), runTimeClass));
      }
    }
    return Optional.empty();
  }

  private Optional<Placement> onHostsOf(int runTimeClass) {
    int examined = 0;
    for (NavigableSet<RackState> group :
        cluster.racksByFree(runTimeClass).tailMap(job.totalAccelerators(), true).values()) {
      for (RackState rack : group) {
        if (examined >= maxRacks(runTimeClass)) {
          return Optional.empty();
        }
        examined++;
        Optional<Placement> placement = inRack(rack, runTimeClass);
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  private int maxRacks(int runTimeClass) {
    return RunTimeClass.isEntirelyWithin(runTimeClass, demand.maxRunTimeRatio())
            || !demand.isBounded()
        ? Integer.MAX_VALUE
        : MAX_RACKS_OF_MIXED_CLASS;
  }

  private Optional<Placement> inRack(RackState rack, int runTimeClass) {
    List<HostState> hosts = new ArrayList<>();
    for (HostState host : rack.hosts()) {
      if (host.runTimeClass() == runTimeClass && isFastEnough(host)) {
        hosts.add(host);
      }
    }
    hosts.sort(FULLEST_FIRST);
    return fit(hosts);
  }

  private Optional<Paced> onMixedHosts(int limit) {
    Optional<Paced> best = Optional.empty();
    int compared = 0;
    int examined = 0;
    int bound = limit;
    for (NavigableSet<RackState> group : cluster.racksWithFree(job.totalAccelerators())) {
      for (RackState rack : group) {
        boolean examinedEnough = demand.isBounded() && examined >= MAX_RACKS_EXAMINED;
        if (bound < 0 || compared >= MAX_RACKS_COMPARED || examinedEnough) {
          return best;
        }
        boolean mayFit = rack.freeUpTo(bound) >= job.totalAccelerators();
        examined += mayFit ? 1 : 0;
        Optional<Paced> found = mayFit ? onMixedHosts(rack, bound) : Optional.empty();
        if (found.isPresent()) {
          if (demand.isBounded()) {
            return found;
          }
          best = found;
          bound = found.get().runTimeClass() - 1;
        }
        compared += best.isPresent() ? 1 : 0;
      }
    }
    return best;
  }

  // Uses no slower hosts than necessary, and of those first the slowest.
  private Optional<Paced> onMixedHosts(RackState rack, int limit) {
    List<HostState> hosts = new ArrayList<>();
    int[] tasksByClass = new int[RunTimeClass.COUNT];
    for (HostState host : rack.hosts()) {
      int tasks = host.runTimeClass() <= limit && isFastEnough(host) ? tasksOn(host) : 0;
      if (tasks > 0) {
        hosts.add(host);
        tasksByClass[host.runTimeClass()] += tasks;
      }
    }
    int pace = 0;
    int tasks = tasksByClass[0];
    while (tasks < job.tasks() && pace < limit) {
      pace++;
      tasks += tasksByClass[pace];
    }
    if (tasks < job.tasks()) {
      return Optional.empty();
    }
    int slowest = pace;
    hosts.removeIf(host -> host.runTimeClass() > slowest);
    hosts.sort(
        Comparator.comparingInt((HostState host) -> -host.runTimeClass())
            .thenComparing(FULLEST_FIRST));
    return fit(hosts).map(placement -> new Paced(placement, slowest));
  }

  private int tasksOn(HostState host) {
    return host.countTasks(job, host.free());
  }

  private Optional<Placement> onOneHost() {
    for (NavigableSet<HostState> group : cluster.hostsWithFree(job.totalAccelerators())) {
      for (HostState host : group) {
        Optional<Placement> placement = isFastEnough(host) ? fit(List.of(host)) : Optional.empty();
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  private Optional<Placement> anywhere() {
    return fit(
        () ->
            cluster.hostsWithFree(job.taskAmount().accelerators()).stream()
                .flatMap(NavigableSet::stream)
                .filter(this::isFastEnough)
                .iterator());
  }

  private boolean isFastEnough(HostState host) {
    return host.runTimeRatio() <= demand.maxRunTimeRatio();
  }

  private Optional<Placement> fit(Iterable<HostState> hosts) {
    return GangFitter.fit(
        hosts, job.tasks(), job.taskAmount(), host -> host.capacityNowFor(job, host.free()));
  }
}
