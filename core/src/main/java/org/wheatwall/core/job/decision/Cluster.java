package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * The worker hosts of one availability zone and the resources allocated on them. Hosts are indexed
 * by free accelerators and racks by the sum over their hosts, so that a placement examines only
 * candidates instead of every host.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class Cluster implements ClusterView {
  private static final Comparator<HostState> HOST_ORDER = Comparator.comparingInt(HostState::index);
  private static final Comparator<RackState> RACK_ORDER = Comparator.comparingInt(RackState::index);

  private final Map<String, HostState> hosts = new LinkedHashMap<>();
  private final Map<String, RackState> racks = new LinkedHashMap<>();
  private final Map<String, Allocation> allocations = new HashMap<>();
  private final NavigableMap<Integer, NavigableSet<HostState>> hostsByFree = new TreeMap<>();
  private final NavigableMap<Integer, NavigableSet<RackState>> racksByFree = new TreeMap<>();
  // Built when run times first differ, so that equal hosts cost nothing.
  private Optional<RunTimeIndex> runTimeIndex = Optional.empty();
  private int hostsOfOtherRunTime;
  private int totalAccelerators;
  private int freeAccelerators;
  private final CapacityInUse capacityInUse = new CapacityInUse();
  private final HostOffer offer = new HostOffer();
  private int nextIndex;

  private record Allocation(
      Placement placement,
      ResourceAmount amount,
      boolean reclaimable,
      String spreadGroup,
      HostSharing sharing,
      boolean suspect) {
    Allocation without(String host) {
      return new Allocation(
          placement.withoutTaskOn(host), amount, reclaimable, spreadGroup, sharing, suspect);
    }

    Allocation moved(String from, String to) {
      return new Allocation(
          placement.withHostReplaced(from, to), amount, reclaimable, spreadGroup, sharing, suspect);
    }

    Allocation of(JobOptions options) {
      return new Allocation(
          placement,
          amount,
          reclaimable,
          options.spreadGroup().orElse(""),
          options.sharing(),
          options.suspect());
    }
  }

  /**
   * Adds a host. If it is known in the same zone and rack, only its capacity is updated, which is
   * allowed while work runs there; whether it is usable, heard or on probation, its labels and its
   * speed are retained.
   */
  public void add(WorkerHost host) {
    HostState known = hosts.get(host.name());
    if (known != null && known.host().isSameLocation(host)) {
      resize(known, host.capacity());
      return;
    }
    if (known != null) {
      remove(host.name());
    }
    HostState state = new HostState(host, nextIndex++);
    hosts.put(host.name(), state);
    RackState rack = racks.computeIfAbsent(host.rack(), name -> new RackState(name, nextIndex++));
    rack.hosts().add(state);
    adjustClass(rack, state.runTimeClass(), state.free().accelerators(), 1);
    totalAccelerators += host.capacity().accelerators();
    capacityInUse.add(state);
    offer.add(state);
    indexHost(state);
    adjustRack(rack, state.free().accelerators());
    // The list of hosts lags: a host that is added again may still run its earlier attempts.
    allocations.forEach((attemptId, allocation) -> holdOnHost(attemptId, allocation, host.name()));
  }

  private void resize(HostState host, ResourceAmount capacity) {
    totalAccelerators += capacity.accelerators() - host.host().capacity().accelerators();
    updateOffered(host.name(), state -> state.resize(capacity));
  }

  /**
   * Removes a host. Attempts that are not released hold their resources again if it is added again.
   */
  public void remove(String name) {
    HostState state = hosts.remove(name);
    if (state == null) {
      return;
    }
    RackState rack = racks.get(state.host().rack());
    unindexHost(state);
    capacityInUse.remove(state);
    offer.remove(state);
    rack.hosts().remove(state);
    adjustClass(rack, state.runTimeClass(), -state.free().accelerators(), -1);
    hostsOfOtherRunTime -= state.runTimeRatio() == 1 ? 0 : 1;
    adjustRack(rack, -state.free().accelerators());
    totalAccelerators -= state.host().capacity().accelerators();
    if (rack.hosts().isEmpty()) {
      unindexRack(rack);
      racks.remove(rack.name());
    }
  }

  /** Allows or forbids new work on a host. */
  public void setUsable(String name, boolean usable) {
    updateOffered(name, host -> host.setUsable(usable));
  }

  /** Sets whether a host responds. */
  public void setHeard(String name, boolean heard) {
    if (host(name).filter(host -> host.heard() != heard).isPresent()) {
      update(name, host -> host.setHeard(heard));
    }
  }

  /** Sets the speed of a host. */
  public void setSpeed(String name, HostSpeed speed) {
    update(name, host -> host.setSpeed(speed));
  }

  /**
   * Sets the expected run time of a task on a host, relative to the median host.
   *
   * @param ratio positive and finite
   */
  public void setRunTimeRatio(String name, double ratio) {
    if (!(ratio > 0) || Double.isInfinite(ratio)) {
      throw new IllegalArgumentException("a run time ratio is positive and finite, not " + ratio);
    }
    HostState host = hosts.get(name);
    if (host == null || host.runTimeRatio() == ratio) {
      return;
    }
    hostsOfOtherRunTime += (host.runTimeRatio() == 1 ? 1 : 0) - (ratio == 1 ? 1 : 0);
    RackState rack = racks.get(host.host().rack());
    int free = host.free().accelerators();
    adjustClass(rack, host.runTimeClass(), -free, -1);
    host.setRunTimeRatio(ratio);
    adjustClass(rack, host.runTimeClass(), free, 1);
    if (runTimeIndex.isEmpty()) {
      runTimeIndex = Optional.of(new RunTimeIndex(racks.values()));
    }
  }

  /** Returns the run time ratio of the slowest host of a placement, 1 if none is known. */
  double runTimeRatio(Placement placement) {
    double slowest = 0;
    for (String name : placement.hosts()) {
      HostState host = hosts.get(name);
      slowest = Math.max(slowest, host == null ? 1 : host.runTimeRatio());
    }
    return slowest > 0 ? slowest : 1;
  }

  /** Sets whether a host gets only one task at a time, and only work that tolerates a failure. */
  void setOnProbation(String name, boolean onProbation) {
    update(name, host -> host.setOnProbation(onProbation));
  }

  /** Sets the operator's labels of a host. */
  public void setLabels(String name, Labels labels) {
    updateOffered(name, host -> host.setLabels(labels));
  }

  /** Allocates {@code amount} per task of {@code placement} to the attempt. */
  public void hold(
      String attemptId, Placement placement, ResourceAmount amount, boolean reclaimable) {
    Allocation allocation =
        new Allocation(placement, amount, reclaimable, "", HostSharing.ORDINARY, false);
    allocations.put(attemptId, allocation);
    for (String name : placement.tasksByHost().keySet()) {
      holdOnHost(attemptId, allocation, name);
    }
  }

  /** Releases all resources that the attempt holds. */
  public void release(String attemptId) {
    Allocation allocation = allocations.remove(attemptId);
    if (allocation == null) {
      return;
    }
    allocation
        .placement()
        .tasksByHost()
        .forEach(
            (name, count) -> {
              update(name, host -> host.release(attemptId));
              adjustTaskCounts(name, allocation, -count);
            });
  }

  /** Releases the resources that one task of the attempt holds on a host. */
  void releaseTask(String attemptId, String name) {
    Allocation allocation = allocations.get(attemptId);
    if (allocation == null || !allocation.placement().hosts().contains(name)) {
      return;
    }
    Allocation remaining = allocation.without(name);
    allocations.put(attemptId, remaining);
    update(name, host -> host.release(attemptId));
    adjustTaskCounts(name, allocation, -1);
    Integer tasks = remaining.placement().tasksByHost().get(name);
    if (tasks != null) {
      ResourceAmount amount = remaining.amount().times(tasks);
      update(name, host -> host.hold(attemptId, amount, remaining.reclaimable()));
    }
  }

  /** Moves the resources that the attempt holds on one host to another host. */
  void moveTasks(String attemptId, String from, String to) {
    Allocation allocation = allocations.get(attemptId);
    Integer tasks = allocation == null ? null : allocation.placement().tasksByHost().get(from);
    if (tasks == null) {
      return;
    }
    update(from, host -> host.release(attemptId));
    adjustTaskCounts(from, allocation, -tasks);
    Allocation moved = allocation.moved(from, to);
    allocations.put(attemptId, moved);
    holdOnHost(attemptId, moved, to, tasks);
  }

  /** Allocates the resources of {@code job} at {@code placement} to the attempt. */
  public void hold(String attemptId, Placement placement, Job job) {
    hold(attemptId, placement, job.taskAmount(), job.reclaimable());
    applyJobOptions(attemptId, job);
  }

  /** Counts the attempt's tasks towards its job's spread group and sharing until its release. */
  void applyJobOptions(String attemptId, Job job) {
    Allocation allocation = allocations.get(attemptId).of(job.options());
    allocations.put(attemptId, allocation);
    allocation
        .placement()
        .tasksByHost()
        .forEach((name, count) -> adjustTaskCounts(name, allocation, count));
  }

  private void adjustTaskCounts(String name, Allocation allocation, int tasks) {
    HostState host = hosts.get(name);
    if (host == null) {
      return;
    }
    if (!allocation.spreadGroup().isEmpty()) {
      host.adjustSpread(allocation.spreadGroup(), tasks);
    }
    if (allocation.sharing() != HostSharing.ORDINARY) {
      host.adjustSharing(allocation.sharing(), tasks);
    }
    if (allocation.suspect()) {
      host.adjustSuspects(tasks);
    }
  }

  /** Marks {@code amount} per task of {@code placement} as planned for a guarantee. */
  void addPlanned(Placement placement, ResourceAmount amount) {
    placement
        .tasksByHost()
        .forEach((name, count) -> update(name, host -> host.addPlanned(amount.times(count))));
  }

  /** Reverts all calls of {@link #addPlanned}. */
  void clearPlanned() {
    hosts.values().forEach(HostState::clearPlanned);
  }

  /** Reverts one call of {@link #addPlanned}. */
  void removePlanned(Placement placement, ResourceAmount amount) {
    placement
        .tasksByHost()
        .forEach((name, count) -> update(name, host -> host.removePlanned(amount.times(count))));
  }

  /** Returns the placement on which an attempt holds resources. */
  public Optional<Placement> placement(String attemptId) {
    return Optional.ofNullable(allocations.get(attemptId)).map(Allocation::placement);
  }

  @Override
  public Optional<HostState> host(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  @Override
  public Collection<HostState> hosts() {
    return Collections.unmodifiableCollection(hosts.values());
  }

  @Override
  public Collection<RackState> racks() {
    return Collections.unmodifiableCollection(racks.values());
  }

  @Override
  public Collection<NavigableSet<HostState>> hostsWithFree(int accelerators) {
    return hostsByFree.tailMap(accelerators, true).values();
  }

  @Override
  public Collection<NavigableSet<RackState>> racksWithFree(int accelerators) {
    return racksByFree.tailMap(accelerators, true).values();
  }

  @Override
  public boolean runTimesDiffer() {
    return hostsOfOtherRunTime > 0;
  }

  @Override
  public NavigableMap<Integer, NavigableSet<RackState>> racksByFree(int runTimeClass) {
    return runTimeIndex
        .map(index -> index.byFree(runTimeClass))
        .orElseGet(Collections::emptyNavigableMap);
  }

  /** Returns whether new work may be placed on some host. */
  boolean anyUsable() {
    return hosts.values().stream().anyMatch(HostState::usable);
  }

  /** Returns what the usable hosts offer at most. */
  HostOffer offer() {
    return offer;
  }

  /** Returns the total number of accelerators of all hosts. */
  public int totalAccelerators() {
    return totalAccelerators;
  }

  /** Returns the capacity in use. */
  CapacityInUse capacityInUse() {
    return capacityInUse;
  }

  /** Returns the number of free accelerators of usable hosts. */
  public int freeAccelerators() {
    return freeAccelerators;
  }

  /**
   * Returns the fragmentation: the fraction of free accelerators that are not on an entirely free
   * host, 0 if none is free. A gang that needs whole hosts cannot use that fraction.
   */
  public double fragmentation() {
    if (freeAccelerators == 0) {
      return 0;
    }
    int onFreeHosts = 0;
    for (Map.Entry<Integer, NavigableSet<HostState>> group : hostsByFree.entrySet()) {
      for (HostState host : group.getValue()) {
        if (group.getKey() == host.host().capacity().accelerators()) {
          onFreeHosts += group.getKey();
        }
      }
    }
    return 1.0 - (double) onFreeHosts / freeAccelerators;
  }

  private void holdOnHost(String attemptId, Allocation allocation, String name) {
    Integer tasks = allocation.placement().tasksByHost().get(name);
    if (tasks != null) {
      holdOnHost(attemptId, allocation, name, tasks);
    }
  }

  // Adds to what the attempt holds there already.
  private void holdOnHost(String attemptId, Allocation allocation, String name, int tasks) {
    ResourceAmount amount = allocation.amount().times(tasks);
    update(name, host -> host.hold(attemptId, amount, allocation.reclaimable()));
    adjustTaskCounts(name, allocation, tasks);
  }

  // For changes of what a host offers if it is empty.
  private void updateOffered(String name, Consumer<HostState> action) {
    update(
        name,
        host -> {
          offer.remove(host);
          action.accept(host);
          offer.add(host);
        });
  }

  private void update(String name, Consumer<HostState> action) {
    HostState host = hosts.get(name);
    if (host == null) {
      return;
    }
    int before = host.free().accelerators();
    unindexHost(host);
    capacityInUse.remove(host);
    action.accept(host);
    capacityInUse.add(host);
    indexHost(host);
    int difference = host.free().accelerators() - before;
    if (difference != 0) {
      RackState rack = racks.get(host.host().rack());
      adjustRack(rack, difference);
      adjustClass(rack, host.runTimeClass(), difference, 0);
    }
  }

  private void indexHost(HostState host) {
    hostsByFree
        .computeIfAbsent(host.free().accelerators(), free -> new TreeSet<>(HOST_ORDER))
        .add(host);
  }

  private void unindexHost(HostState host) {
    int free = host.free().accelerators();
    NavigableSet<HostState> group = hostsByFree.get(free);
    group.remove(host);
    if (group.isEmpty()) {
      hostsByFree.remove(free);
    }
  }

  private void adjustClass(
      RackState rack, int runTimeClass, int freeDifference, int hostsDifference) {
    runTimeIndex.ifPresent(index -> index.remove(rack, runTimeClass));
    rack.adjustClass(runTimeClass, freeDifference, hostsDifference);
    runTimeIndex.ifPresent(index -> index.add(rack, runTimeClass));
  }

  private void adjustRack(RackState rack, int difference) {
    unindexRack(rack);
    rack.adjustFree(difference);
    freeAccelerators += difference;
    racksByFree
        .computeIfAbsent(rack.freeAccelerators(), free -> new TreeSet<>(RACK_ORDER))
        .add(rack);
  }

  private void unindexRack(RackState rack) {
    NavigableSet<RackState> group = racksByFree.get(rack.freeAccelerators());
    if (group != null) {
      group.remove(rack);
      if (group.isEmpty()) {
        racksByFree.remove(rack.freeAccelerators());
      }
    }
  }
}
