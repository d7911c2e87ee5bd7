package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.Workspace;
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
  final WorkspaceShares shares;
  final UrgentReserve urgentReserve;
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
    urgentReserve = new UrgentReserve(new FixedShareReserve(reservedPercent));
    estimator = new RunTimeEstimator(mechanisms.isEnabled(Mechanism.LEARNED_RUN_TIMES));
    shares = WorkspaceShares.UNLIMITED;
    VictimChooser victims =
        new VictimChooser(running, shares, mechanisms.isEnabled(Mechanism.CHEAPEST_STOPS));
    reclaimer = new Reclaimer(cluster, plan, guarantees, running, victims);
    policies = PolicyTable.ofActive(Map.of(), mechanisms);
  }

  /** Records an attempt that was started or found running as running from {@code nowMs}. */
  void track(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    running.put(
        attemptId,
        new RunningAttempt(attemptId, start, placement, nowMs, cluster.runTimeRatio(placement)));
    attemptOfJob.put(start.name(), attemptId);
    reasons.remove(start.name());
    usedByWorkspace.merge(start.job().workspace(), start.job().totalAccelerators(), Integer::sum);
  }
}
