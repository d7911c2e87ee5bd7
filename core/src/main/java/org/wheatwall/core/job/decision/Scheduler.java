package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Decides for one availability zone which waiting jobs start where and what is stopped to free
 * capacity for them. A policy proposes queue order and placements; quotas, guarantees, the
 * precedence of urgent work and the starvation bound are enforced independently of the policy.
 *
 * <p>Performs no I/O and reads no clock; callers pass the time. Not thread-safe; the decision loop
 * owns it.
 */
public final class Scheduler {
  private final SchedulerSettings settings;
  private final SchedulerState state;
  private final HostHealth health;
  private final Set<String> cordoned = new HashSet<>();
  private final Set<String> unavailable = new HashSet<>();

  /** Creates a scheduler without hosts or jobs. */
  public Scheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.state = new SchedulerState(settings);
    this.health = new HostHealth(settings.health());
  }

  /** Sets the part of attempt identifiers that is unique to this decider, such as its epoch. */
  public void setAttemptPrefix(String prefix) {
    state.attemptPrefix = prefix;
    state.attemptCounter = 0;
  }

  /** Returns the cluster; callers add and remove hosts there, then call {@link #hostsChanged}. */
  public Cluster cluster() {
    return state.cluster;
  }

  /** Replans guarantees after hosts were added, removed or changed. */
  public void hostsChanged() {
    state.plan.refresh();
  }

  /** Sets the workspaces by name. */
  public void setWorkspaces(Map<String, Workspace> next) {
    state.workspaces = Map.copyOf(next);
    state.division.ifPresent(division -> division.shares().setWorkspaces(state.workspaces));
  }

  /** Sets the accelerators guaranteed to the urgent work of each workspace. */
  public void setUrgentGuarantees(Map<String, Integer> acceleratorsByWorkspace) {
    state.guarantees.setGuaranteed(acceleratorsByWorkspace);
  }

  /**
   * Sets the latency objectives of jobs, by the value of the label {@value
   * RunTimeEstimator#CLASS_LABEL}.
   */
  public void setObjectives(Map<String, Objective> byClass) {
    state.objectives.set(byClass);
  }

  /** Returns the workspaces by name. */
  public Map<String, Workspace> workspaces() {
    return state.workspaces;
  }

  /** Returns the guaranteed shapes by name. */
  public Map<String, GuaranteedShape> shapes() {
    return state.plan.shapes();
  }

  /** Sets the guaranteed shapes by name. */
  public void setShapes(Map<String, GuaranteedShape> next) {
    state.plan.setShapes(new TreeMap<>(next));
  }

  /** Sets the policies by name; waiting and running jobs are not affected. */
  public void setPolicies(Map<String, PolicySpec> next) {
    setPolicyTable(PolicyTable.ofActive(next, settings.mechanisms()));
  }

  void setPolicyTable(PolicyTable next) {
    state.policies = next;
  }

  /** Sets the hosts that operators have cordoned. */
  public void setCordoned(Set<String> names) {
    Set<String> changed = new HashSet<>(cordoned);
    changed.addAll(names);
    cordoned.clear();
    cordoned.addAll(names);
    for (String name : changed) {
      refreshUsable(name);
    }
  }

  /** Allows or forbids new work on a host, for example while it is draining. */
  public void setHostAvailable(String name, boolean available) {
    boolean changed = available ? unavailable.remove(name) : unavailable.add(name);
    if (changed || !available) {
      refreshUsable(name);
    }
  }

  /** Adds a job to the queue unless it is known. */
  public void submit(String name, Job job, long submittedAtMs) {
    if (state.waiting.containsKey(name) || state.attemptOfJob.containsKey(name)) {
      return;
    }
    QueuedJob queued =
        new QueuedJob(name, job, submittedAtMs, state.estimator.expectedSeconds(job));
    state.waiting.put(name, queued);
    state.guarantees.add(job);
    state.division.ifPresent(division -> division.lateness().recordSubmitted(name, submittedAtMs));
    if (job.urgent()) {
      state.urgentReserve.recordUrgentArrival(submittedAtMs);
    }
    state.reasons.put(name, new WaitReason(WaitReason.Kind.QUEUED, "not looked at yet"));
  }

  /** Returns whether a job is in the queue. */
  public boolean isWaiting(String name) {
    return state.waiting.containsKey(name);
  }

  /** Replaces the description of a waiting job; has no effect on other jobs. */
  public void updateWaiting(String name, Job next) {
    QueuedJob queued = state.waiting.get(name);
    if (queued != null) {
      state.waiting.put(
          name, new QueuedJob(name, next, queued.submittedAtMs(), queued.expectedSeconds()));
    }
  }

  /** Removes a job from the queue; returns its running attempt, if any, for the caller to stop. */
  public Optional<String> withdraw(String name) {
    QueuedJob queued = state.waiting.remove(name);
    if (queued != null) {
      state.guarantees.remove(queued.job());
    }
    state.reasons.remove(name);
    state.division.ifPresent(division -> division.forget(name));
    Optional<String> attempt = Optional.ofNullable(state.attemptOfJob.get(name));
    attempt.map(state.running::get).ifPresent(RunningAttempt::markStopping);
    return attempt;
  }

  /** Adds an attempt that was found running on the workers. */
  public void adopt(
      String attemptId,
      String jobName,
      Job job,
      long submittedAtMs,
      Placement placement,
      long nowMs) {
    if (state.waiting.remove(jobName) == null) {
      state.guarantees.add(job);
    }
    state.cluster.hold(attemptId, placement, job);
    job.shape().ifPresent(shape -> state.plan.adopt(attemptId, shape));
    double expectedSeconds = state.estimator.expectedSeconds(job);
    state.trackAdopted(
        attemptId, new QueuedJob(jobName, job, submittedAtMs, expectedSeconds), placement, nowMs);
  }

  /**
   * Records that an attempt has ended on every worker and releases its resources. Callers submit an
   * interrupted job again.
   */
  public void attemptEnded(String attemptId, EndReason reason, long nowMs) {
    RunningAttempt attempt = state.running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    int held = state.heldTasks(attemptId);
    state.division.ifPresent(division -> division.tasksEnded(attempt.job(), held));
    state.cluster.release(attemptId);
    state.guarantees.remove(attempt.job());
    state.plan.attemptEnded(attemptId);
    state.attemptOfJob.remove(attempt.jobName());
    state.usedByWorkspace.merge(
        attempt.job().workspace(), -attempt.job().totalAccelerators(), Integer::sum);
    if (reason == EndReason.SUCCEEDED) {
      state.division.ifPresent(division -> division.forget(attempt.jobName()));
      double ratio = state.cluster.runTimeRatio(attempt.placement());
      state.estimator.observe(attempt.job(), (nowMs - attempt.startedAtMs()) / 1000.0 / ratio);
      for (String host : Set.copyOf(attempt.placement().hosts())) {
        if (health.recordSuccess(host, attempt.startedAtMs())) {
          refreshUsable(host);
        }
      }
    } else {
      state.division.ifPresent(
          division ->
              division.lateness().recordInterrupted(attempt.jobName(), attempt.submittedAtMs()));
    }
  }

  /**
   * Releases the resources of one task of an attempt that has not ended on every host yet, so that
   * other jobs can use them at once.
   */
  public void taskEnded(String attemptId, String host) {
    int before = state.heldTasks(attemptId);
    state.cluster.releaseTask(attemptId, host);
    int ended = before - state.heldTasks(attemptId);
    RunningAttempt attempt = state.running.get(attemptId);
    if (attempt != null) {
      state.division.ifPresent(division -> division.tasksEnded(attempt.job(), ended));
    }
  }

  /** Moves the resources that an attempt holds on one host to another host. */
  public void tasksMoved(String attemptId, String from, String to) {
    state.cluster.moveTasks(attemptId, from, to);
  }

  /** Records a run time of a job, milliseconds, that the caller has measured. */
  public void observeRun(Job job, long runMs) {
    state.estimator.observe(job, runMs / 1000.0);
  }

  /** Records that a task failed on a host; repeated failures quarantine the host. */
  public void taskFailed(String host, long nowMs) {
    if (quarantineEnabled() && health.recordFailure(host, nowMs)) {
      refreshUsable(host);
      state.plan.refresh();
    }
  }

  /** Records that a task of {@code job} failed on a host; repeated failures of a job count once. */
  public void taskFailed(String host, String job, long nowMs) {
    if (quarantineEnabled()) {
      Set<String> changed = health.recordFailure(host, job, nowMs);
      changed.forEach(this::refreshUsable);
      if (!changed.isEmpty()) {
        state.plan.refresh();
      }
    }
  }

  /** Records that a task of {@code job} succeeded, to tell faulty jobs from faulty hosts. */
  public void taskSucceeded(String job) {
    health.recordTaskSuccess(job);
  }

  /** Returns the kind of reason why a job waits, empty if it is not waiting. */
  public Optional<WaitReason.Kind> reasonKind(String jobName) {
    return Optional.ofNullable(state.reasons.get(jobName)).map(WaitReason::kind);
  }

  /** Returns why a job waits, empty if it is not waiting. */
  public Optional<WaitReason> reason(String jobName) {
    Optional<WaitReason> reason = Optional.ofNullable(state.reasons.get(jobName));
    QueuedJob queued = state.waiting.get(jobName);
    if (queued == null || reason.filter(SchedulingPass.NEVER_FITS::equals).isEmpty()) {
      return queued == null ? reason : reason.map(known -> withShare(known, queued));
    }
    String missing = FeasibilityCheck.describeShortfall(queued.job(), state.cluster);
    return Optional.of(new WaitReason(WaitReason.Kind.NEVER_FITS, missing));
  }

  private WaitReason withShare(WaitReason reason, QueuedJob queued) {
    return state
        .division
        .map(division -> division.shares().describe(queued.job().workspace()))
        .map(share -> new WaitReason(reason.kind(), reason.detail() + "; " + share))
        .orElse(reason);
  }

  /** Returns how capacity is divided between workspaces, empty if the feature is switched off. */
  public Optional<WorkspaceShareStatus> workspaceShareStatus() {
    return state.division.map(WorkspaceDivision::status);
  }

  /** Returns the attempts that hold resources. */
  public Collection<RunningAttempt> running() {
    return Collections.unmodifiableCollection(state.running.values());
  }

  /**
   * Returns the expected run time of an attempt, milliseconds; empty if it is unknown, or if the
   * attempt runs until it is cancelled.
   */
  public OptionalLong expectedRunMs(String attemptId) {
    RunningAttempt attempt = state.running.get(attemptId);
    return attempt == null || !attempt.hasExpectedEnd()
        ? OptionalLong.empty()
        : OptionalLong.of((long) attempt.expectedEndMs() - attempt.startedAtMs());
  }

  /**
   * Updates the expected end of an attempt from its progress.
   *
   * @param remainingMs remaining run time of its slowest task, milliseconds
   */
  public void observeRemaining(String attemptId, long remainingMs, long nowMs) {
    RunningAttempt attempt = state.running.get(attemptId);
    if (attempt != null) {
      attempt.setExpectedEndMs((double) (nowMs + remainingMs));
    }
  }

  /** Returns the waiting jobs. */
  public Collection<QueuedJob> waiting() {
    return Collections.unmodifiableCollection(state.waiting.values());
  }

  /** Returns the running attempt of a job, empty if it has none. */
  public Optional<String> attemptOf(String jobName) {
    return Optional.ofNullable(state.attemptOfJob.get(jobName));
  }

  /** Returns how often a policy threw an exception or proposed an invalid placement. */
  public long invalidProposals() {
    return state.invalidProposals;
  }

  /** Returns the guaranteed shapes that could not be fully reclaimed now. */
  public Set<String> brokenGuarantees() {
    return state.plan.unplacedShapes();
  }

  /** Runs one scheduling pass and returns its decisions. */
  public List<Decision> decide(long nowMs) {
    for (String host : health.releaseExpired(nowMs)) {
      refreshUsable(host);
    }
    List<Decision> decisions = new SchedulingPass(state, settings, nowMs).run();
    state.division.ifPresent(division -> recordStops(division, decisions));
    return decisions;
  }

  /** Returns the division of capacity between workspaces, empty if it is switched off. */
  Optional<WorkspaceDivision> division() {
    return state.division;
  }

  private void recordStops(WorkspaceDivision division, List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Stop stop) {
        Optional.ofNullable(state.running.get(stop.attemptId()))
            .ifPresent(division::attemptStopped);
      }
    }
  }

  /**
   * Returns whether less than half of the capacity of all hosts is in use on those that respond.
   */
  public boolean isLessThanHalfInUse() {
    return state.cluster.capacityInUse().isLessThanHalf();
  }

  /** Returns the share of the capacity of all hosts that is in use on hosts that respond. */
  public double shareInUse() {
    return state.cluster.capacityInUse().share();
  }

  /** Returns the share of the capacity of all hosts that is held on hosts that do not respond. */
  public double shareHeldUnheard() {
    return state.cluster.capacityInUse().unheardShare();
  }

  /** Returns the accelerators of the usable hosts, held or free. */
  public int usableAccelerators() {
    return state.cluster.capacityInUse().usableAccelerators();
  }

  /** Returns whether the last pass reached its limits, so that another pass is due. */
  public boolean passIncomplete() {
    return state.passIncomplete;
  }

  private boolean quarantineEnabled() {
    return settings.mechanisms().isEnabled(Mechanism.QUARANTINE);
  }

  private void refreshUsable(String host) {
    boolean allowed = !cordoned.contains(host) && !unavailable.contains(host);
    state.cluster.setUsable(host, allowed && !health.isQuarantined(host));
    state.cluster.setOnProbation(host, health.isOnProbation(host));
  }
}
