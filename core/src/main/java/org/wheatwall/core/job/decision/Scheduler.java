package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.job.policy.Backfill;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Decides for one availability zone which waiting job starts where and what is stopped for it. A
 * policy proposes order and place; quotas, guarantees, urgent work and the bound on waiting are
 * enforced here, whatever the policy proposes.
 *
 * <p>Pure: the clock is passed in. Not thread-safe; the decision loop owns it.
 */
public final class Scheduler {
  // Urgent work is expected while some came within this time.
  private static final int URGENT_MEMORY_MS = 10_000;

  private final SchedulerSettings settings;
  private final Cluster cluster = new Cluster();
  private final GuaranteePlan plan = new GuaranteePlan(cluster);
  private final RunTimeEstimator estimator = new RunTimeEstimator();
  private final HostHealth health;
  private final Map<String, QueuedJob> waiting = new LinkedHashMap<>();
  private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  private final Map<String, String> attemptOfJob = new HashMap<>();
  private final Map<String, WaitReason> reasons = new HashMap<>();
  private final Map<String, Integer> usedByWorkspace = new HashMap<>();
  private final Set<String> cordoned = new HashSet<>();
  private final Set<String> unavailable = new HashSet<>();
  private final UrgentGuarantees guarantees = new UrgentGuarantees();
  private final Reclaimer reclaimer = new Reclaimer(cluster, plan, guarantees, running);
  private Map<String, Workspace> workspaces = Map.of();
  private PolicyTable policies = PolicyTable.ofActive(Map.of());
  private String attemptPrefix = "0";
  private long attemptCounter;
  private long invalidProposals;
  private long lastUrgentMs = Long.MIN_VALUE / 2;

  /** Creates a scheduler without hosts or jobs. */
  public Scheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.health = new HostHealth(settings.health());
  }

  /** Sets the part of attempt identifiers that no other decider uses, such as its epoch. */
  public void setAttemptPrefix(String prefix) {
    attemptPrefix = prefix;
    attemptCounter = 0;
  }

  /** Returns the hosts; add and remove hosts on it, then call {@link #hostsChanged}. */
  public Cluster cluster() {
    return cluster;
  }

  /** Replans guarantees after hosts came, went or changed. */
  public void hostsChanged() {
    plan.refresh();
  }

  /** Sets the workspaces by name. */
  public void setWorkspaces(Map<String, Workspace> next) {
    workspaces = Map.copyOf(next);
  }

  /** Sets how many accelerators each workspace can always have for its urgent work. */
  public void setUrgentGuarantees(Map<String, Integer> acceleratorsByWorkspace) {
    guarantees.set(acceleratorsByWorkspace);
  }

  /** Returns the workspaces by name. */
  public Map<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Returns the guaranteed shapes by name. */
  public Map<String, GuaranteedShape> shapes() {
    return plan.shapes();
  }

  /** Sets the guaranteed shapes by name. */
  public void setShapes(Map<String, GuaranteedShape> next) {
    plan.setShapes(new TreeMap<>(next));
  }

  /** Sets the policies by name; waiting and running jobs stay as they are. */
  public void setPolicies(Map<String, PolicySpec> next) {
    setPolicyTable(PolicyTable.ofActive(next));
  }

  void setPolicyTable(PolicyTable next) {
    policies = next;
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
    if (waiting.containsKey(name) || attemptOfJob.containsKey(name)) {
      return;
    }
    waiting.put(name, new QueuedJob(name, job, submittedAtMs, estimator.expectedSeconds(job)));
    guarantees.add(job);
    if (job.urgent()) {
      lastUrgentMs = Math.max(lastUrgentMs, submittedAtMs);
    }
    reasons.put(name, new WaitReason(WaitReason.Kind.QUEUED, "not looked at yet"));
  }

  /** Removes a job from the queue and returns its attempt, if it has one, to be stopped. */
  public Optional<String> withdraw(String name) {
    QueuedJob queued = waiting.remove(name);
    if (queued != null) {
      guarantees.remove(queued.job());
    }
    reasons.remove(name);
    Optional<String> attempt = Optional.ofNullable(attemptOfJob.get(name));
    attempt.map(running::get).ifPresent(RunningAttempt::markStopping);
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
    if (waiting.remove(jobName) == null) {
      guarantees.add(job);
    }
    cluster.hold(attemptId, placement, job);
    job.shape().ifPresent(shape -> plan.adopt(attemptId, shape));
    double expectedSeconds = estimator.expectedSeconds(job);
    track(attemptId, new QueuedJob(jobName, job, submittedAtMs, expectedSeconds), placement, nowMs);
  }

  /** Notes that an attempt has ended on every worker; an interrupted job waits again. */
  public void attemptEnded(String attemptId, EndReason reason, long nowMs) {
    RunningAttempt attempt = running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    cluster.release(attemptId);
    guarantees.remove(attempt.job());
    plan.ended(attemptId);
    attemptOfJob.remove(attempt.jobName());
    usedByWorkspace.merge(
        attempt.job().workspace(), -attempt.job().totalAccelerators(), Integer::sum);
    if (reason == EndReason.SUCCEEDED) {
      estimator.observe(attempt.job(), (nowMs - attempt.startedAtMs()) / 1000.0);
      attempt.placement().hosts().forEach(health::succeeded);
    }
  }

  /** Learns from a run of {@code tookMs} that was observed elsewhere. */
  public void observeRun(Job job, long tookMs) {
    estimator.observe(job, tookMs / 1000.0);
  }

  /** Notes that a task failed on a host; a host that keeps failing is taken out of use. */
  public void hostFailedTask(String host, long nowMs) {
    if (health.failed(host, nowMs)) {
      refreshUsable(host);
      plan.refresh();
    }
  }

  /** Notes that a task of {@code job} failed on a host; repeats by the same job count once. */
  public void hostFailedTask(String host, String job, long nowMs) {
    if (health.failed(host, job, nowMs)) {
      refreshUsable(host);
      plan.refresh();
    }
  }

  /** Returns why a job waits, empty if it is not waiting. */
  public Optional<WaitReason> reason(String jobName) {
    return Optional.ofNullable(reasons.get(jobName));
  }

  /** Returns the attempts that hold resources. */
  public Collection<RunningAttempt> running() {
    return Collections.unmodifiableCollection(running.values());
  }

  /** Returns the jobs that wait. */
  public Collection<QueuedJob> waiting() {
    return Collections.unmodifiableCollection(waiting.values());
  }

  /** Returns the attempt of a job. */
  public Optional<String> attemptOf(String jobName) {
    return Optional.ofNullable(attemptOfJob.get(jobName));
  }

  /** Returns how often a policy failed or proposed a place that the job cannot have. */
  public long invalidProposals() {
    return invalidProposals;
  }

  /** Returns the shapes of which some unit could not be had back now. */
  public Set<String> brokenGuarantees() {
    return plan.shapesWithoutPlace();
  }

  /** Looks at the queue once and returns what to do. */
  public List<Decision> decide(long nowMs) {
    for (String host : health.released(nowMs)) {
      refreshUsable(host);
    }
    List<Decision> decisions = new ArrayList<>();
    Pass pass = new Pass(nowMs, decisions);
    for (QueuedJob job : inOrder(nowMs)) {
      if (pass.scanned >= settings.scanLimit() || pass.started >= settings.startLimit()) {
        break;
      }
      pass.look(job);
    }
    return decisions;
  }

  private List<QueuedJob> inOrder(long nowMs) {
    record Ranked(QueuedJob job, double rank) {}

    List<Ranked> ranked = new ArrayList<>(waiting.size());
    for (QueuedJob job : waiting.values()) {
      ranked.add(new Ranked(job, rank(job, nowMs)));
    }
    ranked.sort(
        java.util.Comparator.comparing((Ranked entry) -> !entry.job().job().urgent())
            .thenComparing(entry -> !guarantees.covers(entry.job().job()))
            .thenComparing(entry -> entry.job().job().shape().isEmpty())
            .thenComparing(entry -> !isStarved(entry.job(), nowMs))
            .thenComparingDouble(Ranked::rank)
            .thenComparing(entry -> entry.job().name()));
    List<QueuedJob> jobs = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> jobs.add(entry.job()));
    return jobs;
  }

  private double rank(QueuedJob job, long nowMs) {
    try {
      return policies.of(job.job()).policy().rank().rank(job, nowMs);
    } catch (RuntimeException failure) {
      invalidProposals++;
      return job.submittedAtMs();
    }
  }

  private boolean isStarved(QueuedJob job, long nowMs) {
    return nowMs - job.submittedAtMs() >= settings.starvationBoundMs();
  }

  private void refreshUsable(String host) {
    boolean allowed = !cordoned.contains(host) && !unavailable.contains(host);
    cluster.setUsable(host, allowed && !health.isQuarantined(host));
  }

  private void track(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    running.put(attemptId, new RunningAttempt(attemptId, start, placement, nowMs));
    attemptOfJob.put(start.name(), attemptId);
    reasons.remove(start.name());
    usedByWorkspace.merge(start.job().workspace(), start.job().totalAccelerators(), Integer::sum);
  }

  /** One look over the queue. */
  private final class Pass {
    private final long nowMs;
    private final List<Decision> decisions;
    private final Set<GangNeed> noRoom = new HashSet<>();
    private final Set<String> blockedPolicies = new HashSet<>();
    private final Map<String, BackfillWindow> windows = new HashMap<>();
    private int scanned;
    private int started;

    private Pass(long nowMs, List<Decision> decisions) {
      this.nowMs = nowMs;
      this.decisions = decisions;
    }

    private void look(QueuedJob queued) {
      scanned++;
      QueuedJob job = relaxed(queued);
      Optional<WaitReason> barrier = barrier(job);
      if (barrier.isPresent()) {
        reasons.put(job.name(), barrier.get());
        return;
      }
      PolicyTable.Entry policy = policies.of(job.job());
      if (!place(job, policy) && !reclaim(job)) {
        block(job, policy);
      }
    }

    // What a job prefers gives way once no host of the zone could meet it, even if all were empty.
    private QueuedJob relaxed(QueuedJob queued) {
      Job job = queued.job();
      if (!job.options().hasPreferences() || NeverFits.explain(job, cluster).isEmpty()) {
        return queued;
      }
      Job plain = job.withOptions(job.options().withoutPreferences());
      return new QueuedJob(queued.name(), plain, queued.submittedAtMs(), queued.expectedSeconds());
    }

    private Optional<WaitReason> barrier(QueuedJob job) {
      Workspace workspace = workspaces.get(job.job().workspace());
      int used = usedByWorkspace.getOrDefault(job.job().workspace(), 0);
      boolean limited = workspace != null && workspace.acceleratorQuota() > 0;
      if (limited && used + job.job().totalAccelerators() > workspace.acceleratorQuota()) {
        return wait(WaitReason.Kind.QUOTA, used + " of " + workspace.acceleratorQuota() + " held");
      }
      if (job.job().shape().isPresent()) {
        return shapeBarrier(job.job());
      }
      return NeverFits.explain(job.job(), cluster)
          .flatMap(detail -> wait(WaitReason.Kind.NEVER_FITS, detail));
    }

    private Optional<WaitReason> shapeBarrier(Job job) {
      String name = job.shape().orElseThrow();
      Optional<GuaranteedShape> shape = plan.shape(name);
      if (shape.isEmpty() || !shape.get().holds(job)) {
        return wait(
            WaitReason.Kind.SHAPE_IN_USE, "shape " + name + " is unknown or smaller than the job");
      }
      if (!plan.hasFreeUnit(name)) {
        return wait(WaitReason.Kind.SHAPE_IN_USE, "every unit of " + name + " is in use");
      }
      return Optional.empty();
    }

    private Optional<WaitReason> wait(WaitReason.Kind kind, String detail) {
      return Optional.of(new WaitReason(kind, detail));
    }

    private boolean place(QueuedJob job, PolicyTable.Entry policy) {
      GangNeed need = GangNeed.of(job.job());
      boolean overtakes = blockedPolicies.contains(policy.name());
      if (noRoom.contains(need) || (overtakes && policy.policy().backfill() == Backfill.NONE)) {
        return false;
      }
      Optional<Placement> place = propose(job.job(), policy);
      if (place.isEmpty()) {
        noRoom.add(need);
        return false;
      }
      BackfillWindow window = windows.get(policy.name());
      if (takesHeadroom(job.job())) {
        return false;
      }
      if (window != null && window.isDelayedBy(place.get(), job.expectedSeconds(), nowMs)) {
        return false;
      }
      return start(job, place.get(), List.of());
    }

    // With less than half in use nothing has to wait: urgent work finds room beside it.
    private boolean takesHeadroom(Job job) {
      boolean urgentComes = nowMs - lastUrgentMs < URGENT_MEMORY_MS;
      boolean halfEmpty = cluster.freeAccelerators() * 2 > cluster.totalAccelerators();
      boolean exempt = job.urgent() || job.shape().isPresent() || job.totalAccelerators() == 0;
      if (exempt || halfEmpty || !urgentComes) {
        return false;
      }
      int left = cluster.freeAccelerators() - job.totalAccelerators();
      return left * 100 < cluster.totalAccelerators() * settings.urgentHeadroomPercent();
    }

    // A policy that fails or proposes what cannot be counts as one that found no place.
    private Optional<Placement> propose(Job job, PolicyTable.Entry policy) {
      Optional<Placement> place;
      try {
        place = policy.policy().placement().place(job, cluster);
      } catch (RuntimeException failure) {
        invalidProposals++;
        return Optional.empty();
      }
      if (place.isPresent() && !PlacementCheck.holds(place.get(), job, cluster)) {
        invalidProposals++;
        return Optional.empty();
      }
      return place;
    }

    private boolean reclaim(QueuedJob job) {
      boolean starved = isStarved(job, nowMs);
      if (job.job().shape().isEmpty() && !job.job().urgent() && !starved) {
        return false;
      }
      Optional<Reclaimer.Reclaim> reclaim = reclaimer.find(job, nowMs);
      return reclaim.isPresent() && start(job, reclaim.get().placement(), reclaim.get().victims());
    }

    private boolean start(QueuedJob queued, Placement place, List<RunningAttempt> victims) {
      Job job = queued.job();
      String attemptId = queued.name() + "." + attemptPrefix + "." + attemptCounter;
      if (job.reclaimable()) {
        cluster.hold(attemptId, place, job);
      } else if (!plan.admit(attemptId, place, job.taskAmount(), job.shape())) {
        reasons.put(
            queued.name(),
            new WaitReason(
                WaitReason.Kind.WOULD_BREAK_GUARANTEE,
                "work that is not preemptible would sit on capacity that a guarantee needs"));
        return false;
      } else {
        cluster.nameSpreadGroup(attemptId, job);
      }
      attemptCounter++;
      started++;
      waiting.remove(queued.name());
      track(attemptId, queued, place, nowMs);
      List<String> victimIds = new ArrayList<>();
      for (RunningAttempt victim : victims) {
        victim.markStopping();
        victimIds.add(victim.attemptId());
        decisions.add(new Decision.Stop(victim.attemptId(), "reclaimed for job " + queued.name()));
      }
      decisions.add(new Decision.Start(attemptId, queued.name(), job, place, victimIds));
      return true;
    }

    private void block(QueuedJob job, PolicyTable.Entry policy) {
      WaitReason known = reasons.get(job.name());
      if (known == null || known.kind() != WaitReason.Kind.WOULD_BREAK_GUARANTEE) {
        reasons.put(
            job.name(),
            new WaitReason(
                WaitReason.Kind.NO_FREE_CAPACITY,
                cluster.freeAccelerators()
                    + " accelerators free in the zone, not in a fitting"
                    + " place"));
      }
      if (blockedPolicies.add(policy.name()) && policy.policy().backfill() == Backfill.RESERVING) {
        BackfillWindow.forJob(job.job(), cluster, running.values(), nowMs)
            .ifPresent(window -> windows.put(policy.name(), window));
      }
    }
  }

  /** What makes two gangs alike for the question whether there is room. */
  private record GangNeed(
      int tasks, ResourceAmount amount, Adjacency adjacency, JobOptions options) {
    static GangNeed of(Job job) {
      return new GangNeed(job.tasks(), job.taskAmount(), job.adjacency(), job.options());
    }
  }
}
