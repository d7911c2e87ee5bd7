package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Finds a placement for a job on capacity that is free or can be reclaimed by stopping other work.
 * For a job that uses a guaranteed shape, the planned placement of its unit is one candidate; only
 * reclaimable work can run there.
 */
final class Reclaimer {
  private static final int MAX_CANDIDATES = 16;

  private final Cluster cluster;
  private final GuaranteePlan plan;
  private final UrgentGuarantees guarantees;
  private final Map<String, RunningAttempt> running;
  private final VictimChooser victims;

  Reclaimer(
      Cluster cluster,
      GuaranteePlan plan,
      UrgentGuarantees guarantees,
      Map<String, RunningAttempt> running,
      VictimChooser victims) {
    this.cluster = cluster;
    this.plan = plan;
    this.guarantees = guarantees;
    this.running = running;
    this.victims = victims;
  }

  /** A placement and the gangs that must end before it is free; some may be stopping already. */
  record Reclaim(Placement placement, List<RunningAttempt> victims) {}

  /** Returns the cheapest candidate, empty if no capacity can be reclaimed for the job. */
  Optional<Reclaim> find(QueuedJob queued, long nowMs) {
    Job job = queued.job();
    Predicate<RunningAttempt> mayStop = mayStop(queued);
    List<Placement> candidates = new ArrayList<>();
    job.shape()
        .flatMap(plan::plannedPlacement)
        .map(placement -> trim(placement, job))
        .ifPresent(candidates::add);
    candidates.addAll(candidatePlacements(job, mayStop, nowMs));
    Reclaim best = null;
    double leastCost = Double.POSITIVE_INFINITY;
    for (Placement candidate : candidates) {
      Optional<VictimChooser.Choice> choice =
          victims.choose(cluster, candidate, job.taskAmount(), mayStop, nowMs);
      double cost =
          choice.map(VictimChooser.Choice::cost).orElse(0.0) + slowdownCost(queued, candidate);
      if (choice.isPresent() && cost < leastCost) {
        leastCost = cost;
        best = new Reclaim(candidate, choice.get().victims());
      }
    }
    return Optional.ofNullable(best);
  }

  // A gang holds all its accelerators for as long as its slowest host takes, so the additional time
  // counts like lost work.
  private double slowdownCost(QueuedJob queued, Placement candidate) {
    double slowdown =
        candidate.hosts().stream()
            .flatMap(name -> cluster.host(name).stream())
            .mapToDouble(
                host -> cluster.runTimesDiffer() ? host.runTimeRatio() - 1 : slowdown(host.speed()))
            .max()
            .orElse(0);
    return slowdown * queued.expectedSeconds() * Math.max(1, queued.job().totalAccelerators());
  }

  private static double slowdown(HostSpeed speed) {
    return switch (speed) {
      case FASTER, USUAL -> 0;
      case SLOWER -> HostSpeeds.SLOWER_RATIO - 1;
      case MUCH_SLOWER -> HostSpeeds.MUCH_SLOWER_RATIO - 1;
    };
  }

  // Without a strict order, two starved jobs would keep stopping each other forever. So guaranteed
  // urgent work may stop all other work, urgent work may stop work that is not urgent, and other
  // work may stop only younger work that is not urgent.
  private Predicate<RunningAttempt> mayStop(QueuedJob queued) {
    if (queued.job().shape().isPresent()) {
      return attempt -> true;
    }
    if (guarantees.covers(queued.job())) {
      return attempt -> !guarantees.covers(attempt.job());
    }
    if (queued.job().urgent()) {
      return attempt -> !attempt.job().urgent();
    }
    return attempt -> !attempt.job().urgent() && attempt.isYoungerThan(queued);
  }

  private static Placement trim(Placement placement, Job job) {
    return new Placement(placement.hosts().subList(0, job.tasks()));
  }

  private List<Placement> candidatePlacements(
      Job job, Predicate<RunningAttempt> mayStop, long nowMs) {
    // Each host is asked for several times, and nothing changes in between.
    Map<HostState, ResourceAmount> known = new HashMap<>();
    Function<HostState, ResourceAmount> available =
        host ->
            known.computeIfAbsent(
                host, key -> key.capacityNowFor(job, reclaimableCapacity(key, job, mayStop)));
    ToDoubleFunction<HostState> cost =
        host -> stopCostPerTask(host, job, available, mayStop, nowMs);
    List<Placement> placements = new ArrayList<>();
    if (job.adjacency() != Adjacency.SAME_HOST) {
      placements.addAll(rackPlacements(job, available, cost));
    }
    if (job.adjacency() != Adjacency.SAME_RACK) {
      PlacementSearch.bestFit(cluster, job.adjacency(), job.tasks(), job.taskAmount(), available)
          .ifPresent(placements::add);
    }
    return placements;
  }

  // Stopping a gang for one host may free others too; the VictimChooser counts its cost only once.
  private double stopCostPerTask(
      HostState host,
      Job job,
      Function<HostState, ResourceAmount> available,
      Predicate<RunningAttempt> mayStop,
      long nowMs) {
    int tasks = Math.min(job.tasks(), available.apply(host).countFitting(job.taskAmount()));
    if (tasks == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return victims.costToFree(host, job.taskAmount().times(tasks), mayStop, nowMs) / tasks;
  }

  // Work that cannot be reclaimed may use only capacity that is not planned for guaranteed shapes.
  private ResourceAmount reclaimableCapacity(
      HostState host, Job job, Predicate<RunningAttempt> mayStop) {
    if (!job.reclaimable()) {
      return host.unplanned();
    }
    return host.usable()
        ? host.host().capacity().minus(host.heldWork(running).kept(mayStop))
        : ResourceAmount.ZERO;
  }

  private List<Placement> rackPlacements(
      Job job, Function<HostState, ResourceAmount> available, ToDoubleFunction<HostState> cost) {
    List<RackState> racks = new ArrayList<>();
    for (RackState rack : cluster.racks()) {
      if (GangFitter.countFitting(rack.hosts(), job.tasks(), job.taskAmount(), available)
          >= job.tasks()) {
        racks.add(rack);
      }
    }
    racks.sort(
        Comparator.comparingInt(RackState::freeAccelerators)
            .reversed()
            .thenComparingInt(RackState::index));
    List<Placement> placements = new ArrayList<>();
    for (RackState rack : racks.subList(0, Math.min(MAX_CANDIDATES, racks.size()))) {
      List<HostState> hosts = new ArrayList<>(rack.hosts());
      hosts.sort(
          Comparator.comparing(HostState::speed)
              .thenComparingInt(host -> -host.free().accelerators())
              .thenComparingInt(HostState::index));
      GangFitter.fit(hosts, job.tasks(), job.taskAmount(), available).ifPresent(placements::add);
      GangFitter.fit(cheapestFirst(rack, cost), job.tasks(), job.taskAmount(), available)
          .ifPresent(placements::add);
    }
    return placements;
  }

  private static List<HostState> cheapestFirst(RackState rack, ToDoubleFunction<HostState> cost) {
    record Priced(HostState host, double cost) {}

    return rack.hosts().stream()
        .map(host -> new Priced(host, cost.applyAsDouble(host)))
        .sorted(
            Comparator.comparingDouble(Priced::cost)
                .thenComparingInt(entry -> entry.host().index()))
        .map(Priced::host)
        .toList();
  }
}
