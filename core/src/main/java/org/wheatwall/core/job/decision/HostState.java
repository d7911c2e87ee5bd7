package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** What the decider counts on one worker host. Changed only through {@link Cluster}. */
public final class HostState {
  private WorkerHost host;
  private final int index;
  private final Map<String, HostAllocation> allocations = new HashMap<>();
  private ResourceAmount used = ResourceAmount.ZERO;
  private ResourceAmount nonReclaimable = ResourceAmount.ZERO;
  private ResourceAmount planned = ResourceAmount.ZERO;
  private final Map<String, Integer> spread = new HashMap<>();
  private final Map<HostSharing, Integer> sharing = new EnumMap<>(HostSharing.class);
  private int suspects;
  private Labels labels = Labels.NONE;
  private boolean usable = true;
  private boolean onProbation;
  private HostSpeed speed = HostSpeed.USUAL;

  /** What one attempt holds here. */
  record HostAllocation(ResourceAmount amount, boolean reclaimable) {}

  HostState(WorkerHost host, int index) {
    this.host = host;
    this.index = index;
  }

  /** Returns the host. */
  public WorkerHost host() {
    return host;
  }

  /** Returns the name. */
  public String name() {
    return host.name();
  }

  /** Returns the operator's labels. */
  public Labels labels() {
    return labels;
  }

  /** Returns how long tasks take here, compared with other hosts. */
  public HostSpeed speed() {
    return speed;
  }

  /** Returns whether new work may be placed here. */
  public boolean usable() {
    return usable;
  }

  /** Returns what attempts hold here. */
  ResourceAmount used() {
    return used;
  }

  /** Returns what is not held by any attempt; nothing on a host that may not be used. */
  public ResourceAmount free() {
    return usable ? host.capacity().minus(used) : ResourceAmount.ZERO;
  }

  /** Returns what would be free if all reclaimable work were stopped. */
  public ResourceAmount reclaimableOrFree() {
    return usable ? host.capacity().minus(nonReclaimable) : ResourceAmount.ZERO;
  }

  /** Returns what work that cannot be reclaimed may still take without touching the plan. */
  public ResourceAmount unplanned() {
    return reclaimableOrFree().minus(planned);
  }

  /** Returns the part of {@code room} that {@code job} may use here, by what it asks of hosts. */
  public ResourceAmount capacityFor(Job job, ResourceAmount room) {
    JobOptions options = job.options();
    boolean labelled = labels.entries().keySet().containsAll(options.hostLabels());
    boolean inRack = options.preferredRack().map(host.rack()::equals).orElse(true);
    boolean borne = sharing.keySet().stream().allMatch(options.sharing()::isCompatibleWith);
    boolean allowed = options.permits(name()) && !options.avoidedHosts().contains(name());
    boolean apart = !options.suspect() || suspects == 0;
    if (!labelled || !inRack || !borne || !allowed || !apart) {
      return ResourceAmount.ZERO;
    }
    if (options.spreadLimit() == 0 || options.spreadGroup().isEmpty()) {
      return room;
    }
    int present = spread.getOrDefault(options.spreadGroup().get(), 0);
    int left = Math.max(0, options.spreadLimit() - present);
    return room.countFitting(job.taskAmount()) <= left ? room : job.taskAmount().times(left);
  }

  /**
   * Returns the part of {@code room} that {@code job} may take now, which on a host on probation is
   * one task of work that bears a failure. A gang is lost with any of its members, and urgent work
   * has no time for a second attempt.
   */
  public ResourceAmount capacityNowFor(Job job, ResourceAmount room) {
    boolean bearsFailure = job.tasks() == 1 && !job.urgent();
    boolean mayTry = bearsFailure && allocations.isEmpty();
    return onProbation && !mayTry ? ResourceAmount.ZERO : capacityFor(job, room);
  }

  /** Counts tasks of a spread group that came or, if negative, went. */
  void adjustSpread(String group, int tasks) {
    spread.merge(group, tasks, (old, added) -> old + added == 0 ? null : old + added);
  }

  /** Counts tasks of a kind of sharing that came or, if negative, went. */
  void adjustSharing(HostSharing kind, int tasks) {
    sharing.merge(kind, tasks, (old, added) -> old + added == 0 ? null : old + added);
  }

  /** Counts tasks of suspect jobs that came or, if negative, went. */
  void adjustSuspects(int tasks) {
    suspects += tasks;
  }

  /** Returns the identifiers of the attempts that hold something here. */
  public Collection<String> attempts() {
    return allocations.keySet();
  }

  /** Returns the position in the order in which hosts were added. */
  public int index() {
    return index;
  }

  /** Returns what one attempt holds here. */
  ResourceAmount held(String attemptId) {
    HostAllocation holding = allocations.get(attemptId);
    return holding == null ? ResourceAmount.ZERO : holding.amount();
  }

  boolean holdsReclaimable(String attemptId) {
    HostAllocation holding = allocations.get(attemptId);
    return holding != null && holding.reclaimable();
  }

  void hold(String attemptId, ResourceAmount amount, boolean reclaimable) {
    allocations.merge(
        attemptId,
        new HostAllocation(amount, reclaimable),
        (old, added) -> new HostAllocation(old.amount().plus(added.amount()), reclaimable));
    used = used.plus(amount);
    if (!reclaimable) {
      nonReclaimable = nonReclaimable.plus(amount);
    }
  }

  void release(String attemptId) {
    HostAllocation holding = allocations.remove(attemptId);
    if (holding == null) {
      return;
    }
    used = used.minus(holding.amount());
    if (!holding.reclaimable()) {
      nonReclaimable = nonReclaimable.minus(holding.amount());
    }
  }

  void addPlanned(ResourceAmount amount) {
    planned = planned.plus(amount);
  }

  void removePlanned(ResourceAmount amount) {
    planned = planned.minus(amount);
  }

  void clearPlanned() {
    planned = ResourceAmount.ZERO;
  }

  void resize(ResourceAmount capacity) {
    host = new WorkerHost(host.name(), host.zone(), host.rack(), capacity);
  }

  void setUsable(boolean next) {
    usable = next;
  }

  void setOnProbation(boolean next) {
    onProbation = next;
  }

  void setSpeed(HostSpeed next) {
    speed = next;
  }

  void setLabels(Labels next) {
    labels = next;
  }
}
