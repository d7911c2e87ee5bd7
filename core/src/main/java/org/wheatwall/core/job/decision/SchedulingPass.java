package org.wheatwall.core.job.decision;

import java.util.ArrayList;
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
import org.wheatwall.core.job.policy.PlacementRule;
import org.wheatwall.core.job.policy.QueuedJob;
import org.wheatwall.core.job.policy.SpeedDemand;

/**
 * One pass over the queue of a {@link Scheduler}, which decides what starts where and what is
 * stopped to free capacity for it.
 */
final class SchedulingPass {
  // The detail is computed on request, in Scheduler.reason, and not in each pass.
  static final WaitReason NEVER_FITS = new WaitReason(WaitReason.Kind.NEVER_FITS, "");

  private final SchedulerState state;
  private final SchedulerSettings settings;
  private final long nowMs;
  private final List<Decision> decisions = new ArrayList<>();
  private final Map<GangRequirements, Findings> findings = new HashMap<>();
  private final HostOffer offer;
  private final QueueOrder order;
  private final Set<String> blockedPolicies = new HashSet<>();
  private final Map<String, BackfillWindow> windows = new HashMap<>();
  private Optional<Proposal> lastProposal = Optional.empty();
  private int searches;
  private int started;

  SchedulingPass(SchedulerState state, SchedulerSettings settings, long nowMs) {
    this.state = state;
    this.settings = settings;
    this.nowMs = nowMs;
    this.offer = state.cluster.offer();
    this.order = new QueueOrder(state, settings.starvationBoundMs(), nowMs);
  }

  /**
   * Considers the jobs in queue order within the limits and returns the decisions. Jobs already
   * known not to fit, or that no host could run a task of, use up no searches. Half of the searches
   * go to the head of the queue, the rest start where the previous pass ended, so that every job is
   * reached however many do not fit.
   */
  List<Decision> run() {
    if (!state.cluster.anyUsable()) {
      state.passIncomplete = false;
      return decisions;
    }
    List<QueuedJob> jobs = order.sorted();
    int position = schedule(jobs, 0, settings.scanLimit() / 2);
    int from =
        state.resumePosition < jobs.size() ? Math.max(position, state.resumePosition) : position;
    position = schedule(jobs, from, settings.scanLimit());
    state.passIncomplete = position < jobs.size();
    state.resumePosition = state.passIncomplete ? position : 0;
    return decisions;
  }

  // Returns the position of the first job that was not considered.
  private int schedule(List<QueuedJob> jobs, int from, int searchLimit) {
    int position = from;
    while (position < jobs.size() && searches < searchLimit && started < settings.startLimit()) {
      scheduleOrRecordFailure(jobs.get(position));
      position++;
    }
    return position;
  }

  private boolean isStarved(QueuedJob job) {
    return order.isStarved(job);
  }

  // An exception in the decision about one job must not discard the decisions about others.
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
    Findings known = findingsFor(job.job());
    Optional<WaitReason> obstacle = admissionObstacle(job, known);
    if (obstacle.isPresent()) {
      state.reasons.put(job.name(), obstacle.get());
      return;
    }
    PolicyTable.Entry policy = state.policies.policyFor(job.job());
    Optional<WaitReason> notStarted = startIfPlaced(job, policy, known);
    if (notStarted.filter(SchedulingPass::isForFasterHosts).isPresent()) {
      // Jobs behind it may use the slower hosts that it leaves free.
      state.reasons.put(job.name(), notStarted.get());
      return;
    }
    if (notStarted.isPresent() && !reclaim(job, known)) {
      block(job, policy, notStarted.get());
    }
  }

  private static boolean isForFasterHosts(WaitReason reason) {
    return reason.kind() == WaitReason.Kind.FASTER_HOSTS_EXPECTED;
  }

  private Findings findingsFor(Job job) {
    return findings.computeIfAbsent(GangRequirements.of(job), need -> new Findings());
  }

  // Drops the preferences of a job if they could not be met even in an empty zone.
  private QueuedJob withoutInfeasiblePreferences(QueuedJob queued) {
    Job job = queued.job();
    if (!job.options().hasPreferences() || fitsEmptyZone(job, findingsFor(job))) {
      return queued;
    }
    Job relaxed = job.withOptions(job.options().withoutPreferences());
    return new QueuedJob(queued.name(), relaxed, queued.submittedAtMs(), queued.expectedSeconds());
  }

  private Optional<WaitReason> admissionObstacle(QueuedJob job, Findings known) {
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
    return fitsEmptyZone(job.job(), known) ? Optional.empty() : Optional.of(NEVER_FITS);
  }

  private boolean fitsEmptyZone(Job job, Findings known) {
    if (offer.excludes(job)) {
      return false;
    }
    if (known.fitsEmptyZone.isEmpty()) {
      searches++;
      known.fitsEmptyZone = Optional.of(FeasibilityCheck.fitsEmptyZone(job, state.cluster));
    }
    return known.fitsEmptyZone.get();
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

  // Starts a job if free capacity permits; otherwise returns the reason why not.
  private Optional<WaitReason> startIfPlaced(
      QueuedJob job, PolicyTable.Entry policy, Findings known) {
    boolean overtakes = blockedPolicies.contains(policy.name());
    if (overtakes && policy.policy().backfill() == Backfill.NONE) {
      return waitReason(WaitReason.Kind.KEPT_FOR_EARLIER_JOB, "the policy lets no job overtake");
    }
    if (known.noFreeCapacity) {
      return noFreeCapacityReason();
    }
    searches++;
    boolean considersSpeed = state.completion.applies();
    Optional<Placement> placement =
        considersSpeed ? proposeFastEnough(job, policy, known) : proposeOnce(job.job(), policy);
    if (placement.isEmpty()) {
      known.noFreeCapacity = true;
      return noFreeCapacityReason();
    }
    if (considersSpeed && state.completion.shouldWait(job, placement.get(), nowMs)) {
      return fasterHostsReason();
    }
    if (state.urgentReserve.mustWait(job, state.cluster, nowMs)) {
      return waitReason(
          WaitReason.Kind.KEPT_FOR_URGENT_WORK, state.cluster.freeAccelerators() + " are free");
    }
    Optional<BackfillWindow> window = Optional.ofNullable(windows.get(policy.name()));
    if (window.filter(reserved -> isDelayed(reserved, job, placement.get())).isEmpty()) {
      return startAt(placement.get(), job, window);
    }
    Optional<WaitReason> notStarted = startOutside(window.get(), job, policy, known);
    return notStarted.isPresent() && !KeptCapacity.mayBeWithheldFrom(job.job(), state.cluster)
        ? startAt(placement.get(), job, window)
        : notStarted;
  }

  private boolean isDelayed(BackfillWindow window, QueuedJob job, Placement placement) {
    return window.isDelayedBy(job.job(), placement, job.expectedSeconds(), nowMs);
  }

  // Starts a job on hosts that the blocked job does not need.
  private Optional<WaitReason> startOutside(
      BackfillWindow window, QueuedJob queued, PolicyTable.Entry policy, Findings known) {
    if (known.noFreeCapacityOutsideWindow) {
      return keptForEarlierJobReason();
    }
    searches++;
    Job job = queued.job();
    JobOptions elsewhere = job.options().avoiding(window.reservedHosts());
    QueuedJob candidate =
        new QueuedJob(
            queued.name(),
            job.withOptions(elsewhere),
            queued.submittedAtMs(),
            queued.expectedSeconds());
    boolean considersSpeed = state.completion.applies();
    Optional<Placement> placement =
        considersSpeed
            ? proposeFastEnough(candidate, policy, new Findings())
            : propose(candidate.job(), policy, Optional.empty());
    if (placement.isEmpty()) {
      known.noFreeCapacityOutsideWindow = true;
      return keptForEarlierJobReason();
    }
    if (considersSpeed && state.completion.shouldWait(queued, placement.get(), nowMs)) {
      return fasterHostsReason();
    }
    return startAt(placement.get(), queued, Optional.of(window));
  }

  private Optional<WaitReason> startAt(
      Placement placement, QueuedJob job, Optional<BackfillWindow> window) {
    if (!start(job, placement, List.of())) {
      return waitReason(
          WaitReason.Kind.WOULD_BREAK_GUARANTEE,
          "work that is not preemptible would sit on capacity that a guarantee needs");
    }
    window.ifPresent(
        reserved -> reserved.recordStart(job.job(), placement, job.expectedSeconds(), nowMs));
    return Optional.empty();
  }

  private Optional<WaitReason> fasterHostsReason() {
    return waitReason(
        WaitReason.Kind.FASTER_HOSTS_EXPECTED, "it would be late on the hosts that are free");
  }

  private Optional<WaitReason> keptForEarlierJobReason() {
    return waitReason(
        WaitReason.Kind.KEPT_FOR_EARLIER_JOB, "its start is expected to delay that of another");
  }

  private Optional<WaitReason> noFreeCapacityReason() {
    return waitReason(
        WaitReason.Kind.NO_FREE_CAPACITY,
        state.cluster.freeAccelerators()
            + " accelerators free in the zone, not in a fitting place");
  }

  // The tasks of a wide step are equal and follow each other in the queue. If one of them must wait
  // although it has a place, the next gets the same proposal, as nothing has started meanwhile.
  private Optional<Placement> proposeOnce(Job job, PolicyTable.Entry policy) {
    if (lastProposal.filter(last -> last.isFor(job, policy)).isEmpty()) {
      lastProposal =
          propose(job, policy, Optional.empty())
              .map(placement -> new Proposal(job, policy, placement));
    }
    return lastProposal.map(Proposal::placement);
  }

  // Proposes hosts that are fast enough, otherwise the least slow ones.
  private Optional<Placement> proposeFastEnough(
      QueuedJob job, PolicyTable.Entry policy, Findings known) {
    SpeedDemand demand = state.completion.demand(job, nowMs);
    if (demand.maxRunTimeRatio() > known.noneUpToRunTimeRatio) {
      Optional<Placement> placement = propose(job.job(), policy, Optional.of(demand));
      if (placement.isPresent()) {
        return placement;
      }
      known.noneUpToRunTimeRatio = demand.maxRunTimeRatio();
    }
    return propose(job.job(), policy, Optional.of(SpeedDemand.LEAST_SLOW));
  }

  // A policy that throws or proposes an invalid placement counts as having found none.
  private Optional<Placement> propose(
      Job job, PolicyTable.Entry policy, Optional<SpeedDemand> demand) {
    PlacementRule rule = policy.policy().placement();
    Optional<Placement> placement;
    try {
      placement =
          demand.isPresent()
              ? rule.place(job, state.cluster, demand.get())
              : rule.place(job, state.cluster);
    } catch (RuntimeException failure) {
      state.invalidProposals++;
      return Optional.empty();
    }
    if (placement.isPresent() && !PlacementCheck.isValid(placement.get(), job, state.cluster)) {
      state.invalidProposals++;
      return Optional.empty();
    }
    return placement;
  }

  private boolean reclaim(QueuedJob job, Findings known) {
    boolean starved = isStarved(job);
    if (job.job().shape().isEmpty() && !job.job().urgent() && !starved) {
      return false;
    }
    // For other jobs, what may be stopped depends on more than their requirements.
    boolean shared = job.job().urgent() && job.job().shape().isEmpty();
    boolean guaranteed = state.guarantees.covers(job.job());
    if (shared && known.hasNothingToReclaim(guaranteed)) {
      return false;
    }
    searches++;
    Optional<Reclaimer.Reclaim> reclaim = state.reclaimer.find(job, nowMs);
    if (reclaim.isEmpty()) {
      known.recordNothingToReclaim(shared, guaranteed);
      return false;
    }
    // Stopping attempts for one job may free capacity for others.
    findings.values().forEach(Findings::forgetReclaims);
    return start(job, reclaim.get().placement(), reclaim.get().victims());
  }

  private boolean start(QueuedJob queued, Placement placement, List<RunningAttempt> victims) {
    lastProposal = Optional.empty();
    Job job = queued.job();
    String attemptId = queued.name() + "." + state.attemptPrefix + "." + state.attemptCounter;
    if (job.reclaimable()) {
      state.cluster.hold(attemptId, placement, job);
    } else if (!state.plan.admit(attemptId, placement, job.taskAmount(), job.shape())) {
      return false;
    } else {
      state.cluster.applyJobOptions(attemptId, job);
    }
    state.attemptCounter++;
    started++;
    state.waiting.remove(queued.name());
    state.track(attemptId, queued, placement, nowMs);
    List<String> victimIds = new ArrayList<>();
    for (RunningAttempt victim : victims) {
      victimIds.add(victim.attemptId());
      if (!victim.stopping()) {
        victim.markStopping();
        decisions.add(new Decision.Stop(victim.attemptId(), "reclaimed for job " + queued.name()));
      }
    }
    decisions.add(new Decision.Start(attemptId, queued.name(), job, placement, victimIds));
    return true;
  }

  private void block(QueuedJob job, PolicyTable.Entry policy, WaitReason reason) {
    state.reasons.put(job.name(), reason);
    if (blockedPolicies.add(policy.name()) && policy.policy().backfill() == Backfill.RESERVING) {
      reserve(job.job(), policy, reason);
    }
  }

  // A job that was not started although it fits does not wait for others to end, so that holding
  // back others would not help it. The reserve for urgent work is different: it becomes smaller.
  private void reserve(Job job, PolicyTable.Entry policy, WaitReason reason) {
    CapacityForecast forecast = CapacityForecast.of(job, state.cluster);
    if (forecast.fitsNow() && reason.kind() != WaitReason.Kind.KEPT_FOR_URGENT_WORK) {
      return;
    }
    forecast
        .earliest(state.running.values(), nowMs)
        .ifPresent(window -> windows.put(policy.name(), window));
  }

  /** A valid proposal of a policy, while nothing has started since. */
  private record Proposal(Job job, PolicyTable.Entry policy, Placement placement) {
    boolean isFor(Job otherJob, PolicyTable.Entry otherPolicy) {
      return policy.name().equals(otherPolicy.name()) && job.equals(otherJob);
    }
  }

  /** The properties of a gang that decide whether it fits. */
  private record GangRequirements(
      int tasks, ResourceAmount amount, Adjacency adjacency, JobOptions options) {
    static GangRequirements of(Job job) {
      return new GangRequirements(job.tasks(), job.taskAmount(), job.adjacency(), job.options());
    }
  }

  /**
   * What this pass has found for gangs with the same requirements. It stays valid within the pass,
   * because free capacity only decreases.
   */
  private static final class Findings {
    private Optional<Boolean> fitsEmptyZone = Optional.empty();
    private boolean noFreeCapacity;
    private boolean noFreeCapacityOutsideWindow;
    private double noneUpToRunTimeRatio;
    private boolean nothingToReclaim;
    private boolean nothingToReclaimIfGuaranteed;

    private boolean hasNothingToReclaim(boolean guaranteed) {
      return guaranteed ? nothingToReclaimIfGuaranteed : nothingToReclaim;
    }

    private void recordNothingToReclaim(boolean shared, boolean guaranteed) {
      nothingToReclaim |= shared && !guaranteed;
      nothingToReclaimIfGuaranteed |= shared && guaranteed;
    }

    private void forgetReclaims() {
      nothingToReclaim = false;
      nothingToReclaimIfGuaranteed = false;
    }
  }
}
