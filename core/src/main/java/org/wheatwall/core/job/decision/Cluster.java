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
 * The worker hosts of one availability zone and what is held on them. Hosts are indexed by free
 * accelerators and racks by the sum over their hosts, so that a placement looks at candidates and
 * not at every host.
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
  private int totalAccelerators;
  private int freeAccelerators;
  private final CapacityInUse capacityInUse = new CapacityInUse();
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
   * Adds a host. One that is known in the same place only has its capacity set, which may change
   * while work is held there; whether it is in use, on probation or slow stays as it is.
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
    totalAccelerators += host.capacity().accelerators();
    capacityInUse.add(state);
    indexHost(state);
    adjustRack(rack, state.free().accelerators());
    // The list of hosts lags: a host that comes back may still run what it ran before.
    allocations.forEach((attemptId, entry) -> holdOnHost(attemptId, entry, host.name()));
  }

  private void resize(HostState host, ResourceAmount capacity) {
    totalAccelerators += capacity.accelerators() - host.host().capacity().accelerators();
    update(host.name(), state -> state.resize(capacity));
  }

  /** Removes a host; what attempts held on it is forgotten. */
  public void remove(String name) {
    HostState state = hosts.remove(name);
    if (state == null) {
      return;
    }
    RackState rack = racks.get(state.host().rack());
    unindexHost(state);
    capacityInUse.remove(state);
    rack.hosts().remove(state);
    adjustRack(rack, -state.free().accelerators());
    totalAccelerators -= state.host().capacity().accelerators();
    if (rack.hosts().isEmpty()) {
      racksByFree.getOrDefault(rack.freeAccelerators(), new TreeSet<>(RACK_ORDER)).remove(rack);
      racks.remove(rack.name());
    }
  }

  /** Allows or forbids new work on a host. */
  public void setUsable(String name, boolean usable) {
    update(name, host -> host.setUsable(usable));
  }

  /** Sets how long tasks take on a host, compared with others. */
  public void setSpeed(String name, HostSpeed pace) {
    update(name, host -> host.setSpeed(pace));
  }

  /** Sets whether a host gets only one task at a time, and only work that bears a failure. */
  void setOnProbation(String name, boolean onProbation) {
    update(name, host -> host.setOnProbation(onProbation));
  }

  /** Sets the operator's labels of a host. */
  public void setLabels(String name, Labels labels) {
    update(name, host -> host.setLabels(labels));
  }

  /** Takes {@code amount} per task of {@code placement} for the attempt. */
  public void hold(
      String attemptId, Placement placement, ResourceAmount amount, boolean reclaimable) {
    Allocation entry = new Allocation(placement, amount, reclaimable, "", HostSharing.ORDINARY, false);
    allocations.put(attemptId, entry);
    for (String name : placement.tasksByHost().keySet()) {
      holdOnHost(attemptId, entry, name);
    }
  }

  /** Gives back whatever the attempt holds. */
  public void release(String attemptId) {
    Allocation entry = allocations.remove(attemptId);
    if (entry == null) {
      return;
    }
    entry
        .placement()
        .tasksByHost()
        .forEach(
            (name, count) -> {
              update(name, host -> host.release(attemptId));
              adjustTaskCounts(name, entry, -count);
            });
  }

  /** Gives back what one task of the attempt holds on a host. */
  void releaseTask(String attemptId, String name) {
    Allocation entry = allocations.get(attemptId);
    if (entry == null || !entry.placement().hosts().contains(name)) {
      return;
    }
    Allocation left = entry.without(name);
    allocations.put(attemptId, left);
    update(name, host -> host.release(attemptId));
    adjustTaskCounts(name, entry, -1);
    Integer tasks = left.placement().tasksByHost().get(name);
    if (tasks != null) {
      ResourceAmount amount = left.amount().times(tasks);
      update(name, host -> host.hold(attemptId, amount, left.reclaimable()));
    }
  }

  /** Counts what the attempt holds on one host as held on another. */
  void moveTasks(String attemptId, String from, String to) {
    Allocation entry = allocations.get(attemptId);
    Integer tasks = entry == null ? null : entry.placement().tasksByHost().get(from);
    if (tasks == null) {
      return;
    }
    update(from, host -> host.release(attemptId));
    adjustTaskCounts(from, entry, -tasks);
    Allocation moved = entry.moved(from, to);
    allocations.put(attemptId, moved);
    holdOnHost(attemptId, moved, to);
  }

  /** Takes what {@code job} needs at {@code placement} for the attempt. */
  public void hold(String attemptId, Placement placement, Job job) {
    hold(attemptId, placement, job.taskAmount(), job.reclaimable());
    applyJobOptions(attemptId, job);
  }

  /** Counts the tasks of an attempt by its job's spread group and sharing, until its release. */
  void applyJobOptions(String attemptId, Job job) {
    Allocation entry = allocations.get(attemptId).of(job.options());
    allocations.put(attemptId, entry);
    entry.placement().tasksByHost().forEach((name, count) -> adjustTaskCounts(name, entry, count));
  }

  private void adjustTaskCounts(String name, Allocation entry, int tasks) {
    HostState host = hosts.get(name);
    if (host == null) {
      return;
    }
    if (!entry.spreadGroup().isEmpty()) {
      host.adjustSpread(entry.spreadGroup(), tasks);
    }
    if (entry.sharing() != HostSharing.ORDINARY) {
      host.adjustSharing(entry.sharing(), tasks);
    }
    if (entry.suspect()) {
      host.adjustSuspects(tasks);
    }
  }

  /** Counts {@code amount} per task of {@code placement} as planned for a guarantee. */
  void addPlanned(Placement placement, ResourceAmount amount) {
    placement
        .tasksByHost()
        .forEach((name, count) -> update(name, host -> host.addPlanned(amount.times(count))));
  }

  /** Takes back everything that {@link #addPlanned} counted. */
  void clearPlanned() {
    hosts.values().forEach(HostState::clearPlanned);
  }

  /** Takes back what {@link #addPlanned} counted. */
  void removePlanned(Placement placement, ResourceAmount amount) {
    placement
        .tasksByHost()
        .forEach((name, count) -> update(name, host -> host.removePlanned(amount.times(count))));
  }

  /** Returns where an attempt holds resources. */
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

  /** Returns whether new work may be placed on some host. */
  boolean anyUsable() {
    return hosts.values().stream().anyMatch(HostState::usable);
  }

  /** Returns the accelerators of all hosts. */
  public int totalAccelerators() {
    return totalAccelerators;
  }

  /** Returns how much of the hosts' capacity is held. */
  CapacityInUse capacityInUse() {
    return capacityInUse;
  }

  /** Returns the accelerators that are free on usable hosts. */
  public int freeAccelerators() {
    return freeAccelerators;
  }

  /**
   * Returns fragmentation: the share of free accelerators that do not lie on a wholly free host, 0
   * when nothing is free. A gang that needs whole hosts cannot use that share.
   */
  public double fragmentation() {
    if (freeAccelerators == 0) {
      return 0;
    }
    int whole = 0;
    for (Map.Entry<Integer, NavigableSet<HostState>> group : hostsByFree.entrySet()) {
      for (HostState host : group.getValue()) {
        if (group.getKey() == host.host().capacity().accelerators()) {
          whole += group.getKey();
        }
      }
    }
    return 1.0 - (double) whole / freeAccelerators;
  }

  private void holdOnHost(String attemptId, Allocation entry, String name) {
    Integer count = entry.placement().tasksByHost().get(name);
    if (count != null) {
      ResourceAmount amount = entry.amount().times(count);
      update(name, host -> host.hold(attemptId, amount, entry.reclaimable()));
      adjustTaskCounts(name, entry, count);
    }
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
      adjustRack(racks.get(host.host().rack()), difference);
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

  private void adjustRack(RackState rack, int difference) {
    NavigableSet<RackState> group = racksByFree.get(rack.freeAccelerators());
    if (group != null) {
      group.remove(rack);
      if (group.isEmpty()) {
        racksByFree.remove(rack.freeAccelerators());
      }
    }
    rack.adjustFree(difference);
    freeAccelerators += difference;
    racksByFree
        .computeIfAbsent(rack.freeAccelerators(), free -> new TreeSet<>(RACK_ORDER))
        .add(rack);
  }
}
