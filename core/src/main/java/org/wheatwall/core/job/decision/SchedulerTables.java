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

/** What {@link Scheduler} knows, and {@link QueuePass} looks at and changes. */
final class SchedulerTables {
  final Cluster cluster = new Cluster();
  final GuaranteePlan plan = new GuaranteePlan(cluster);
  final RunTimeEstimator estimator;
  final UrgentGuarantees guarantees = new UrgentGuarantees();
  final Map<String, QueuedJob> waiting = new LinkedHashMap<>();
  final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  final Map<String, String> attemptOfJob = new HashMap<>();
  final Map<String, WaitReason> reasons = new HashMap<>();
  final Map<String, Integer> usedByWorkspace = new HashMap<>();
  final UrgentRoom urgentRoom;
  final Reclaimer reclaimer;
  Map<String, Workspace> workspaces = Map.of();
  PolicyTable policies;
  String attemptPrefix = "0";
  long attemptCounter;
  // Position in the queue at which the last look left off, 0 if it reached the end.
  int resumeAt;
  boolean leftOff;
  long invalidProposals;

  SchedulerTables(SchedulerSettings settings) {
    Mechanisms mechanisms = settings.mechanisms();
    boolean keepsRoom = mechanisms.isEnabled(Mechanism.URGENT_ROOM);
    urgentRoom = new UrgentRoom(keepsRoom ? settings.urgentHeadroomPercent() : 0);
    estimator = new RunTimeEstimator(mechanisms.isEnabled(Mechanism.LEARNED_RUN_TIMES));
    VictimChooser victims =
        new VictimChooser(running, mechanisms.isEnabled(Mechanism.CHEAPEST_STOPS));
    reclaimer = new Reclaimer(cluster, plan, guarantees, running, victims);
    policies = PolicyTable.ofActive(Map.of(), mechanisms);
  }

  /** Counts a job that was waiting, or found running, as running from now on. */
  void track(String attemptId, QueuedJob start, Placement placement, long nowMs) {
    running.put(attemptId, new RunningAttempt(attemptId, start, placement, nowMs));
    attemptOfJob.put(start.name(), attemptId);
    reasons.remove(start.name());
    usedByWorkspace.merge(start.job().workspace(), start.job().totalAccelerators(), Integer::sum);
  }
}
