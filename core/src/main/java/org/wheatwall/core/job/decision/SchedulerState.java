package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.job.model.WorkspaceShareSettings;
import org.wheatwall.core.job.policy.QueuedJob;

/** State of a {@link Scheduler}, read and updated by {@link SchedulingPass}. */
final class SchedulerState {
  final Cluster cluster = new Cluster();
  final GuaranteePlan plan = new GuaranteePlan(cluster);
  final RunTimeEstimator estimator;
  final UrgentGuarantees guarantees = new UrgentGuarantees();
  final Map<String, QueuedJob> waiting = new LinkedHashMap<>();
  final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  final Map<String, String> attemptOfJob = new HashMap<>();
  final Map<String, WaitReason> reasons = new HashMap<>();
  final Map<String, Integer> usedByWorkspace = new HashMap<>();
  final JobObjectives objectives = new JobObjectives();
  // Empty if the feature is switched off.
  final Optional<WorkspaceDivision> division;
  final UrgentReserve urgentReserve;
  final ExpectedCompletion completion;
  final Reclaimer reclaimer;
  Map<String, Workspace> workspaces = Map.of();
  PolicyTable policies;
  String attemptPrefix = "0";
  long attemptCounter;
  // Position in the queue at which the last pass ended, 0 if it reached the end of the queue.
  int resumePosition;
  boolean passIncomplete;
  long invalidProposals;

  SchedulerState(SchedulerSettings settings) {
    Mechanisms mechanisms = settings.mechanisms();
    boolean reserves = mechanisms.isEnabled(Mechanism.URGENT_ROOM);
    int reservedPercent = reserves ? settings.urgentHeadroomPercent() : 0;
    urgentReserve = new UrgentReserve(reservedPercent, objectives);
    estimator = new RunTimeEstimator(mechanisms.isEnabled(Mechanism.LEARNED_RUN_TIMES));
    WorkspaceShareSettings shareSettings = settings.features().workspaceShares();
    division =
        shareSettings.enabled()
            ? Optional.of(
                new WorkspaceDivision(
                    shareSettings,
                    cluster.capacityInUse(),
                    objectives::of,
                    settings.starvationBoundMs()))
            : Optional.empty();
    VictimChooser victims =
        new VictimChooser(
            running,
            division
                .<WorkspaceShares>map(WorkspaceDivision::shares)
                .orElse(WorkspaceShares.UNLIMITED),
            division.map(WorkspaceDivision::stopLimit),
            mechanisms.isEnabled(Mechanism.CHEAPEST_STOPS));
    boolean speedAware = settings.features().speedAware().enabled();
    completion = new ExpectedCompletion(speedAware, cluster, guarantees, objectives, running);
    reclaimer = new Reclaimer(cluster, plan, guarantees, running, victims);
    policies = PolicyTable.ofActive(Map.of(), mechanisms);
  }

  /** Records an attempt that was started as running from {@code nowMs}. */
  void track(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    record(attemptId, start, placement, nowMs);
    division.ifPresent(enabled -> enabled.attemptStarted(start, heldTasks(attemptId), nowMs));
  }

  /** Records an attempt that was found running at {@code nowMs}. */
  void trackAdopted(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    record(attemptId, start, placement, nowMs);
    division.ifPresent(enabled -> enabled.attemptAdopted(start.job(), heldTasks(attemptId)));
  }

  private void record(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    running.put(
        attemptId,
        new RunningAttempt(attemptId, start, placement, nowMs, cluster.runTimeRatio(placement)));
    attemptOfJob.put(start.name(), attemptId);
    reasons.remove(start.name());
    usedByWorkspace.merge(start.job().workspace(), start.job().totalAccelerators(), Integer::sum);
  }

  /** Returns the number of tasks for which an attempt holds resources. */
  int heldTasks(String attemptId) {
    return cluster.placement(attemptId).map(Placement::hosts).map(List::size).orElse(0);
  }
}
