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
 * Decides for one availability zone which waiting job starts where and what is stopped for it. A
 * policy proposes order and place; quotas, guarantees, urgent work and the bound on waiting are
 * enforced here, whatever the policy proposes.
 *
 * <p>Pure: the clock is passed in. Not thread-safe; the decision loop owns it.
 */
public final class Scheduler {
  private final SchedulerSettings settings;
  private final SchedulerTables tables;
  private final HostHealth health;
  private final Set<String> cordoned = new HashSet<>();
  private final Set<String> unavailable = new HashSet<>();

  /** Creates a scheduler without hosts or jobs. */
  public Scheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.tables = new SchedulerTables(settings);
    this.health = new HostHealth(settings.health());
  }

  /** Sets the part of attempt identifiers that no other decider uses, such as its epoch. */
  public void setAttemptPrefix(String prefix) {
    tables.attemptPrefix = prefix;
    tables.attemptCounter = 0;
  }

  /** Returns the hosts; add and remove hosts on it, then call {@link #hostsChanged}. */
  public Cluster cluster() {
    return tables.cluster;
  }

  /** Replans guarantees after hosts came, went or changed. */
  public void hostsChanged() {
    tables.plan.refresh();
  }

  /** Sets the workspaces by name. */
  public void setWorkspaces(Map<String, Workspace> next) {
    tables.workspaces = Map.copyOf(next);
  }

  /** Sets how many accelerators each workspace can always have for its urgent work. */
  public void setUrgentGuarantees(Map<String, Integer> acceleratorsByWorkspace) {
    tables.guarantees.set(acceleratorsByWorkspace);
  }

  /**
   * Sets how soon jobs are to be done, by the value of the label {@value
   * RunTimeEstimator#CLASS_LABEL}.
   */
  public void setObjectives(Map<String, Objective> byClass) {
    tables.urgentRoom.setObjectives(byClass);
  }

  /** Returns the workspaces by name. */
  public Map<String, Workspace> workspaces() {
    return tables.workspaces;
  }

  /** Returns the guaranteed shapes by name. */
  public Map<String, GuaranteedShape> shapes() {
    return tables.plan.shapes();
  }

  /** Sets the guaranteed shapes by name. */
  public void setShapes(Map<String, GuaranteedShape> next) {
    tables.plan.setShapes(new TreeMap<>(next));
  }

  /** Sets the policies by name; waiting and running jobs stay as they are. */
  public void setPolicies(Map<String, PolicySpec> next) {
    setPolicyTable(PolicyTable.ofActive(next, settings.mechanisms()));
  }

  void setPolicyTable(PolicyTable next) {
    tables.policies = next;
  }

  /** Marks hosts on which operators want no new work. */
  public void setCordoned(Set<String> names) {
    Set<String> changed = new HashSet<>(cordoned);
    changed.addAll(names);
    cordoned.clear();
    cordoned.addAll(names);
    for (String name : changed) {
      refreshUsable(name);
    }
  }

  /** Allows or forbids new work on a host for reasons of the caller, such as that it is leaving. */
  public void setHostAvailable(String name, boolean available) {
    boolean changed = available ? unavailable.remove(name) : unavailable.add(name);
    if (changed || !available) {
      refreshUsable(name);
    }
  }

  /** Adds a job to the queue unless it is known. */
  public void submit(String name, Job job, long submittedAtMs) {
    if (tables.waiting.containsKey(name) || tables.attemptOfJob.containsKey(name)) {
      return;
    }
    tables.waiting.put(
        name, new QueuedJob(name, job, submittedAtMs, tables.estimator.expectedSeconds(job)));
    tables.guarantees.add(job);
    if (job.urgent()) {
      tables.urgentRoom.urgentCame(submittedAtMs);
    }
    tables.reasons.put(name, new WaitReason(WaitReason.Kind.QUEUED, "not looked at yet"));
  }

  /** Returns whether a job is in the queue. */
  public boolean isWaiting(String name) {
    return tables.waiting.containsKey(name);
  }

  /** Describes a job anew while it waits; a job that does not wait stays as it is. */
  public void describeAgain(String name, Job next) {
    QueuedJob queued = tables.waiting.get(name);
    if (queued != null) {
      tables.waiting.put(
          name, new QueuedJob(name, next, queued.submittedAtMs(), queued.expectedSeconds()));
    }
  }

  /** Removes a job from the queue and returns its attempt, if it has one, to be stopped. */
  public Optional<String> withdraw(String name) {
    QueuedJob queued = tables.waiting.remove(name);
    if (queued != null) {
      tables.guarantees.remove(queued.job());
    }
    tables.reasons.remove(name);
    Optional<String> attempt = Optional.ofNullable(tables.attemptOfJob.get(name));
    attempt.map(tables.running::get).ifPresent(RunningAttempt::markStopping);
    return attempt;
  }

  /** Counts an attempt that was found running on the workers. */
  public void adopt(
      String attemptId,
      String jobName,
      Job job,
      long submittedAtMs,
      Placement placement,
      long nowMs) {
    if (tables.waiting.remove(jobName) == null) {
      tables.guarantees.add(job);
    }
    tables.cluster.hold(attemptId, placement, job);
    job.shape().ifPresent(shape -> tables.plan.adopt(attemptId, shape));
    double expectedSeconds = tables.estimator.expectedSeconds(job);
    tables.track(
        attemptId, new QueuedJob(jobName, job, submittedAtMs, expectedSeconds), placement, nowMs);
  }

  /** Notes that an attempt has ended on every worker; an interrupted job waits again. */
  public void attemptEnded(String attemptId, EndReason reason, long nowMs) {
    RunningAttempt attempt = tables.running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    tables.cluster.release(attemptId);
    tables.guarantees.remove(attempt.job());
    tables.plan.ended(attemptId);
    tables.attemptOfJob.remove(attempt.jobName());
    tables.usedByWorkspace.merge(
        attempt.job().workspace(), -attempt.job().totalAccelerators(), Integer::sum);
    if (reason == EndReason.SUCCEEDED) {
      tables.estimator.observe(attempt.job(), (nowMs - attempt.startedAtMs()) / 1000.0);
      for (String host : Set.copyOf(attempt.placement().hosts())) {
        if (health.succeeded(host, attempt.startedAtMs())) {
          refreshUsable(host);
        }
      }
    }
  }

  /**
   * Notes that one task of an attempt holds nothing on its host any more, though the attempt has
   * not ended on every host. Others may use that room at once.
   */
  public void taskEnded(String attemptId, String host) {
    tables.cluster.releaseTask(attemptId, host);
  }

  /** Notes that what an attempt holds on a host is held on another one instead. */
  public void tasksMoved(String attemptId, String from, String to) {
    tables.cluster.moveTasks(attemptId, from, to);
  }

  /** Learns from a run of {@code tookMs} that was observed elsewhere. */
  public void observeRun(Job job, long tookMs) {
    tables.estimator.observe(job, tookMs / 1000.0);
  }

  /** Notes that a task failed on a host; a host that keeps failing is taken out of use. */
  public void hostFailedTask(String host, long nowMs) {
    if (quarantines() && health.failed(host, nowMs)) {
      refreshUsable(host);
      tables.plan.refresh();
    }
  }

  /** Notes that a task of {@code job} failed on a host; repeats by the same job count once. */
  public void hostFailedTask(String host, String job, long nowMs) {
    if (quarantines()) {
      Set<String> changed = health.failed(host, job, nowMs);
      changed.forEach(this::refreshUsable);
      if (!changed.isEmpty()) {
        tables.plan.refresh();
      }
    }
  }

  /** Notes that a task of {@code job} was done; tells jobs that fail from hosts that do. */
  public void jobProgressed(String job) {
    health.jobProgressed(job);
  }

  /** Returns the kind of reason for which a job waits, empty if it is not waiting. */
  public Optional<WaitReason.Kind> reasonKind(String jobName) {
    return Optional.ofNullable(tables.reasons.get(jobName)).map(WaitReason::kind);
  }

  /** Returns why a job waits, empty if it is not waiting. */
  public Optional<WaitReason> reason(String jobName) {
    Optional<WaitReason> reason = Optional.ofNullable(tables.reasons.get(jobName));
    QueuedJob queued = tables.waiting.get(jobName);
    if (queued == null || reason.filter(QueuePass.NEVER_FITS::equals).isEmpty()) {
      return reason;
    }
    String missing = NeverFits.closest(queued.job(), tables.cluster);
    return Optional.of(new WaitReason(WaitReason.Kind.NEVER_FITS, missing));
  }

  /** Returns the attempts that hold resources. */
  public Collection<RunningAttempt> running() {
    return Collections.unmodifiableCollection(tables.running.values());
  }

  /** Returns how long an attempt is expected to run, milliseconds; empty if it is not known. */
  public OptionalLong expectedMs(String attemptId) {
    RunningAttempt attempt = tables.running.get(attemptId);
    return attempt == null
        ? OptionalLong.empty()
        : OptionalLong.of((long) attempt.expectedEndMs() - attempt.startedAtMs());
  }

  /** Returns the jobs that wait. */
  public Collection<QueuedJob> waiting() {
    return Collections.unmodifiableCollection(tables.waiting.values());
  }

  /** Returns the attempt of a job. */
  public Optional<String> attemptOf(String jobName) {
    return Optional.ofNullable(tables.attemptOfJob.get(jobName));
  }

  /** Returns how often a policy failed or proposed a place that the job cannot have. */
  public long invalidProposals() {
    return tables.invalidProposals;
  }

  /** Returns the shapes of which some unit could not be had back now. */
  public Set<String> brokenGuarantees() {
    return tables.plan.shapesWithoutPlace();
  }

  /** Looks at the queue once and returns what to do. */
  public List<Decision> decide(long nowMs) {
    for (String host : health.released(nowMs)) {
      refreshUsable(host);
    }
    return new QueuePass(tables, settings, nowMs).run();
  }

  /** Returns whether less than half of the hosts' capacity is held. */
  public boolean lessThanHalfInUse() {
    return tables.cluster.capacityInUse().lessThanHalf();
  }

  /** Returns whether the last look at the queue ended by its limits, so that another is due. */
  public boolean leftOff() {
    return tables.leftOff;
  }

  private boolean quarantines() {
    return settings.mechanisms().isEnabled(Mechanism.QUARANTINE);
  }

  private void refreshUsable(String host) {
    boolean allowed = !cordoned.contains(host) && !unavailable.contains(host);
    tables.cluster.setUsable(host, allowed && !health.isQuarantined(host));
    tables.cluster.setOnProbation(host, health.isOnProbation(host));
  }
}
