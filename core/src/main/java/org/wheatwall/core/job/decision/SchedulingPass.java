package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.job.policy.Backfill;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * One look over the queue of a {@link Scheduler}: what starts where, and what is stopped for it.
 */
final class SchedulingPass {
  // What is missing is worked out when somebody asks, not at each look at the queue.
  static final WaitReason NEVER_FITS = new WaitReason(WaitReason.Kind.NEVER_FITS, "");

  private final SchedulerState state;
  private final SchedulerSettings settings;
  private final long nowMs;
  private final List<Decision> decisions = new ArrayList<>();
  private final Map<GangRequirements, Findings> findings = new HashMap<>();
  private final Set<String> blockedPolicies = new HashSet<>();
  private final Map<String, BackfillWindow> windows = new HashMap<>();
  private int searches;
  private int started;

  SchedulingPass(SchedulerState tables, SchedulerSettings settings, long nowMs) {
    this.state = tables;
    this.settings = settings;
    this.nowMs = nowMs;
  }

  /**
   * Looks at the queue in its order, as far as the limits allow, and returns what to do. What is
   * known to have no place costs nothing. Half of the searches go to the jobs at the head, the rest
   * to where the pass before left off, so that each job is reached however many have no place.
   */
  List<Decision> run() {
    if (!state.cluster.anyUsable()) {
      state.passIncomplete = false;
      return decisions;
    }
    List<QueuedJob> jobs = inOrder();
    int position = schedule(jobs, 0, settings.scanLimit() / 2);
    int from =
        state.resumePosition < jobs.size() ? Math.max(position, state.resumePosition) : position;
    position = schedule(jobs, from, settings.scanLimit());
    state.passIncomplete = position < jobs.size();
    state.resumePosition = state.passIncomplete ? position : 0;
    return decisions;
  }

  // Returns the position of the first job that was not looked at.
  private int schedule(List<QueuedJob> jobs, int from, int searchLimit) {
    int position = from;
    while (position < jobs.size() && searches < searchLimit && started < settings.startLimit()) {
      scheduleOrRecordFailure(jobs.get(position));
      position++;
    }
    return position;
  }

  private List<QueuedJob> inOrder() {
    record Ranked(QueuedJob job, double rank) {}

    List<Ranked> ranked = new ArrayList<>(state.waiting.size());
    for (QueuedJob job : state.waiting.values()) {
      ranked.add(new Ranked(job, rank(job)));
    }
    ranked.sort(
        Comparator.comparing((Ranked entry) -> !entry.job().job().urgent())
            .thenComparing(entry -> !state.guarantees.covers(entry.job().job()))
            .thenComparing(entry -> entry.job().job().shape().isEmpty())
            .thenComparing(entry -> !isStarved(entry.job()))
            .thenComparingDouble(Ranked::rank)
            .thenComparing(entry -> entry.job().name()));
    List<QueuedJob> jobs = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> jobs.add(entry.job()));
    return jobs;
  }

  private double rank(QueuedJob job) {
    try {
      return state.policies.policyFor(job.job()).policy().rank().rank(job, nowMs);
    } catch (RuntimeException failure) {
      state.invalidProposals++;
      return job.submittedAtMs();
    }
  }

  private boolean isStarved(QueuedJob job) {
    return nowMs - job.submittedAtMs() >= settings.starvationBoundMs();
  }

  // A job that cannot be looked at must not undo what was decided for others.
  private void scheduleOrRecordFailure(QueuedJob job) {
    try {
      schedule(job);
    } catch (RuntimeException failure) {
      searches++;
      decisions.add(new Decision.Failed(job.name(), String.valueOf(failure)));
    }
  }

  private void schedule(QueuedJob queued) {
    QueuedJob job = withoutInfeasiblePreferences(queued);
    Findings found = findingsFor(job.job());
    Optional<WaitReason> barrier = admissionObstacle(job, found);
    if (barrier.isPresent()) {
      state.reasons.put(job.name(), barrier.get());
      return;
    }
    PolicyTable.Entry policy = state.policies.policyFor(job.job());
    Optional<WaitReason> obstacle = startIfPlaced(job, policy, found);
    if (obstacle.isPresent() && !reclaim(job, found)) {
      block(job, policy, obstacle.get());
    }
  }

  private Findings findingsFor(Job job) {
    return findings.computeIfAbsent(GangRequirements.of(job), need -> new Findings());
  }

  // What a job prefers gives way once no host of the zone could meet it, even if all were empty.
  private QueuedJob withoutInfeasiblePreferences(QueuedJob queued) {
    Job job = queued.job();
    if (!job.options().hasPreferences() || fitsEmptyZone(job, findingsFor(job))) {
      return queued;
    }
    Job plain = job.withOptions(job.options().withoutPreferences());
    return new QueuedJob(queued.name(), plain, queued.submittedAtMs(), queued.expectedSeconds());
  }

  private Optional<WaitReason> admissionObstacle(QueuedJob job, Findings found) {
    Workspace workspace = state.workspaces.get(job.job().workspace());
    int used = state.usedByWorkspace.getOrDefault(job.job().workspace(), 0);
    boolean limited = workspace != null && workspace.acceleratorQuota() > 0;
    if (limited && used + job.job().totalAccelerators() > workspace.acceleratorQuota()) {
      return waitReason(
          WaitReason.Kind.QUOTA, used + " of " + workspace.acceleratorQuota() + " held");
    }
    if (job.job().shape().isPresent()) {
      return shapeObstacle(job.job());
    }
    return fitsEmptyZone(job.job(), found) ? Optional.empty() : Optional.of(NEVER_FITS);
  }

  private boolean fitsEmptyZone(Job job, Findings found) {
    if (found.fitsEmptyZone.isEmpty()) {
      searches++;
      found.fitsEmptyZone = Optional.of(FeasibilityCheck.fitsEmptyZone(job, state.cluster));
    }
    return found.fitsEmptyZone.get();
  }

  private Optional<WaitReason> shapeObstacle(Job job) {
    String name = job.shape().orElseThrow();
    Optional<GuaranteedShape> shape = state.plan.shape(name);
    if (shape.isEmpty() || !shape.get().canHold(job)) {
      return waitReason(
          WaitReason.Kind.SHAPE_IN_USE, "shape " + name + " is unknown or smaller than the job");
    }
    if (!state.plan.hasFreeUnit(name)) {
      return waitReason(WaitReason.Kind.SHAPE_IN_USE, "every unit of " + name + " is in use");
    }
    return Optional.empty();
  }

  private Optional<WaitReason> waitReason(WaitReason.Kind kind, String detail) {
    return Optional.of(new WaitReason(kind, detail));
  }

  // Starts a job where there is room; returns why not if it was not started.
  private Optional<WaitReason> startIfPlaced(
      QueuedJob job, PolicyTable.Entry policy, Findings found) {
    boolean overtakes = blockedPolicies.contains(policy.name());
    if (overtakes && policy.policy().backfill() == Backfill.NONE) {
      return waitReason(WaitReason.Kind.KEPT_FOR_EARLIER_JOB, "the policy lets no job overtake");
    }
    if (found.noFreeCapacity) {
      return noFreeCapacityReason();
    }
    searches++;
    Optional<Placement> place = propose(job.job(), policy);
    if (place.isEmpty()) {
      found.noFreeCapacity = true;
      return noFreeCapacityReason();
    }
    BackfillWindow window = windows.get(policy.name());
    if (state.urgentReserve.mustWait(job, state.cluster, nowMs)) {
      return waitReason(
          WaitReason.Kind.KEPT_FOR_URGENT_WORK, state.cluster.freeAccelerators() + " are free");
    }
    if (window != null
        && window.isDelayedBy(job.job(), place.get(), job.expectedSeconds(), nowMs)) {
      return waitReason(
          WaitReason.Kind.KEPT_FOR_EARLIER_JOB, "its start is expected to delay that of another");
    }
    if (!start(job, place.get(), List.of())) {
      return waitReason(
          WaitReason.Kind.WOULD_BREAK_GUARANTEE,
          "work that is not preemptible would sit on capacity that a guarantee needs");
    }
    if (window != null) {
      windows.put(
          policy.name(),
          window.afterStarting(job.job(), place.get(), job.expectedSeconds(), nowMs));
    }
    return Optional.empty();
  }

  private Optional<WaitReason> noFreeCapacityReason() {
    return waitReason(
        WaitReason.Kind.NO_FREE_CAPACITY,
        state.cluster.freeAccelerators()
            + " accelerators free in the zone, not in a fitting place");
  }

  // A policy that fails or proposes what cannot be counts as one that found no place.
  private Optional<Placement> propose(Job job, PolicyTable.Entry policy) {
    Optional<Placement> place;
    try {
      place = policy.policy().placement().place(job, state.cluster);
    } catch (RuntimeException failure) {
      state.invalidProposals++;
      return Optional.empty();
    }
    if (place.isPresent() && !PlacementCheck.isValid(place.get(), job, state.cluster)) {
      state.invalidProposals++;
      return Optional.empty();
    }
    return place;
  }

  private boolean reclaim(QueuedJob job, Findings found) {
    boolean starved = isStarved(job);
    if (job.job().shape().isEmpty() && !job.job().urgent() && !starved) {
      return false;
    }
    // What may be stopped for other jobs depends on more than their need.
    boolean alike = job.job().urgent() && job.job().shape().isEmpty();
    boolean guaranteed = state.guarantees.covers(job.job());
    if (alike && found.hasNothingToReclaim(guaranteed)) {
      return false;
    }
    searches++;
    Optional<Reclaimer.Reclaim> reclaim = state.reclaimer.find(job, nowMs);
    if (reclaim.isEmpty()) {
      found.recordNothingToReclaim(alike, guaranteed);
      return false;
    }
    // What is stopped for one job may leave room for others.
    findings.values().forEach(Findings::forgetReclaims);
    return start(job, reclaim.get().placement(), reclaim.get().victims());
  }

  private boolean start(QueuedJob queued, Placement place, List<RunningAttempt> victims) {
    Job job = queued.job();
    String attemptId = queued.name() + "." + state.attemptPrefix + "." + state.attemptCounter;
    if (job.reclaimable()) {
      state.cluster.hold(attemptId, place, job);
    } else if (!state.plan.admit(attemptId, place, job.taskAmount(), job.shape())) {
      return false;
    } else {
      state.cluster.applyJobOptions(attemptId, job);
    }
    state.attemptCounter++;
    started++;
    state.waiting.remove(queued.name());
    state.track(attemptId, queued, place, nowMs);
    List<String> victimIds = new ArrayList<>();
    for (RunningAttempt victim : victims) {
      victimIds.add(victim.attemptId());
      if (!victim.stopping()) {
        victim.markStopping();
        decisions.add(new Decision.Stop(victim.attemptId(), "reclaimed for job " + queued.name()));
      }
    }
    decisions.add(new Decision.Start(attemptId, queued.name(), job, place, victimIds));
    return true;
  }

  private void block(QueuedJob job, PolicyTable.Entry policy, WaitReason reason) {
    state.reasons.put(job.name(), reason);
    if (blockedPolicies.add(policy.name()) && policy.policy().backfill() == Backfill.RESERVING) {
      CapacityForecast.earliest(job.job(), state.cluster, state.running.values(), nowMs)
          .ifPresent(window -> windows.put(policy.name(), window));
    }
  }

  /** What makes two gangs alike for the question whether there is room. */
  private record GangRequirements(
      int tasks, ResourceAmount amount, Adjacency adjacency, JobOptions options) {
    static GangRequirements of(Job job) {
      return new GangRequirements(job.tasks(), job.taskAmount(), job.adjacency(), job.options());
    }
  }

  /** What this look has found out for gangs that need the same; room only gets less during it. */
  private static final class Findings {
    private Optional<Boolean> fitsEmptyZone = Optional.empty();
    private boolean noFreeCapacity;
    private boolean nothingToReclaim;
    private boolean nothingToReclaimIfGuaranteed;

    private boolean hasNothingToReclaim(boolean guaranteed) {
      return guaranteed ? nothingToReclaimIfGuaranteed : nothingToReclaim;
    }

    private void recordNothingToReclaim(boolean alike, boolean guaranteed) {
      nothingToReclaim |= alike && !guaranteed;
      nothingToReclaimIfGuaranteed |= alike && guaranteed;
    }

    private void forgetReclaims() {
      nothingToReclaim = false;
      nothingToReclaimIfGuaranteed = false;
    }
  }
}
