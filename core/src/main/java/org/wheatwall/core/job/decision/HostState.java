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

/** Allocations and state of one worker host. Changed only through {@link Cluster}. */
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
  private boolean heard = true;
  private boolean onProbation;
  private HostSpeed speed = HostSpeed.USUAL;
  private double runTimeRatio = 1;
  private HeldWork heldWork;
  private int runTimeClass = RunTimeClass.of(1);

  /** Resources that one attempt holds on this host. */
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

  /** Returns the speed compared with other hosts. */
  public HostSpeed speed() {
    return speed;
  }

  /**
   * Returns the expected run time of a task here, relative to the median host: 1 if nothing else is
   * known, more on slower hosts.
   */
  public double runTimeRatio() {
    return runTimeRatio;
  }

  /** Returns the {@link RunTimeClass} of the expected run time. */
  public int runTimeClass() {
    return runTimeClass;
  }

  /** Returns whether new work may be placed on this host. */
  public boolean usable() {
    return usable;
  }

  /** Returns whether this host responds, so that what attempts hold is known to be in use. */
  public boolean heard() {
    return heard;
  }

  /** Returns the resources that attempts hold. */
  ResourceAmount used() {
    return used;
  }

  /** Returns the resources that no attempt holds; zero if the host is not usable. */
  public ResourceAmount free() {
    return usable ? host.capacity().minus(used) : ResourceAmount.ZERO;
  }

  /** Returns the resources that would be free if all reclaimable work were stopped. */
  public ResourceAmount reclaimableOrFree() {
    return usable ? host.capacity().minus(nonReclaimable) : ResourceAmount.ZERO;
  }

  /** Returns the free or reclaimable resources that are not planned for guaranteed shapes. */
  public ResourceAmount unplanned() {
    return reclaimableOrFree().minus(planned);
  }

  /** Returns the part of {@code available} that the options of {@code job} let it use here. */
  public ResourceAmount capacityFor(Job job, ResourceAmount available) {
    JobOptions options = job.options();
    if (!labels.entries().keySet().containsAll(options.hostLabels())
        || (options.preferredRack().isPresent()
            && !options.preferredRack().get().equals(host.rack()))
        || !isCompatibleWith(options.sharing())
        || !options.permits(name())
        || options.avoidedHosts().contains(name())
        || (options.suspect() && suspects > 0)) {
      return ResourceAmount.ZERO;
    }
    if (options.spreadLimit() == 0 || options.spreadGroup().isEmpty()) {
      return available;
    }
    int present = spread.getOrDefault(options.spreadGroup().get(), 0);
    int remaining = Math.max(0, options.spreadLimit() - present);
    return available.countFitting(job.taskAmount()) <= remaining
        ? available
        : job.taskAmount().times(remaining);
  }

  private boolean isCompatibleWith(HostSharing other) {
    return sharing.isEmpty() || sharing.keySet().stream().allMatch(other::isCompatibleWith);
  }

  /**
   * Returns the part of {@code available} that {@code job} may use now. A host on probation takes
   * only one task, of work that tolerates a failure: a gang fails with any of its members, and
   * urgent work has no time for a second attempt.
   */
  public ResourceAmount capacityNowFor(Job job, ResourceAmount available) {
    boolean toleratesFailure = job.tasks() == 1 && !job.urgent();
    boolean mayProbe = toleratesFailure && allocations.isEmpty();
    return onProbation && !mayProbe ? ResourceAmount.ZERO : capacityFor(job, available);
  }

  /** Returns how many tasks of {@code job} fit into {@code available} now. */
  public int countTasks(Job job, ResourceAmount available) {
    return capacityNowFor(job, available).countFitting(job.taskAmount());
  }

  /** Adds to the number of tasks of a spread group, or subtracts if {@code tasks} is negative. */
  void adjustSpread(String group, int tasks) {
    spread.merge(group, tasks, (old, added) -> old + added == 0 ? null : old + added);
  }

  /** Adds to the number of tasks of a kind, or subtracts if {@code tasks} is negative. */
  void adjustSharing(HostSharing kind, int tasks) {
    sharing.merge(kind, tasks, (old, added) -> old + added == 0 ? null : old + added);
  }

  /** Adds to the number of tasks of suspect jobs, or subtracts if {@code tasks} is negative. */
  void adjustSuspects(int tasks) {
    suspects += tasks;
  }

  /** Returns the identifiers of the attempts that hold resources on this host. */
  public Collection<String> attempts() {
    return allocations.keySet();
  }

  /** Returns the position in the order in which hosts were added. */
  public int index() {
    return index;
  }

  /** Returns the resources that one attempt holds. */
  ResourceAmount held(String attemptId) {
    HostAllocation allocation = allocations.get(attemptId);
    return allocation == null ? ResourceAmount.ZERO : allocation.amount();
  }

  boolean holdsReclaimable(String attemptId) {
    HostAllocation allocation = allocations.get(attemptId);
    return allocation != null && allocation.reclaimable();
  }

  /**
   * Returns the allocations with their attempts. They are retained until an allocation changes,
   * unless an attempt is not known yet.
   *
   * @param running the known attempts by identifier
   */
  HeldWork heldWork(Map<String, RunningAttempt> running) {
    if (heldWork != null) {
      return heldWork;
    }
    HeldWork found = HeldWork.of(allocations, running);
    heldWork = found.complete() ? found : null;
    return found;
  }

  void hold(String attemptId, ResourceAmount amount, boolean reclaimable) {
    heldWork = null;
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
    heldWork = null;
    HostAllocation allocation = allocations.remove(attemptId);
    if (allocation == null) {
      return;
    }
    used = used.minus(allocation.amount());
    if (!allocation.reclaimable()) {
      nonReclaimable = nonReclaimable.minus(allocation.amount());
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

  void setHeard(boolean next) {
    heard = next;
  }

  void setOnProbation(boolean next) {
    onProbation = next;
  }

  void setSpeed(HostSpeed next) {
    speed = next;
  }

  void setRunTimeRatio(double next) {
    runTimeRatio = next;
    runTimeClass = RunTimeClass.of(next);
  }

  void setLabels(Labels next) {
    labels = next;
  }
}
