package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/** A scheduler that divides capacity between workspaces, and hosts of eight accelerators. */
final class ShareFixture {
  static final ResourceAmount HOST = new ResourceAmount(32_000, 1000, 8);
  static final ResourceAmount ONE = new ResourceAmount(1000, 10, 1);
  static final ResourceAmount HALF = new ResourceAmount(16_000, 500, 4);
  static final String CLASS = "class-1";
  static final int RUN_MS = 8000;

  final Scheduler scheduler;
  long nowMs = 1_000_000;

  private ShareFixture(SchedulerSettings settings, int hosts) {
    scheduler = new Scheduler(settings);
    for (int i = 0; i < hosts; i++) {
      scheduler.cluster().add(new WorkerHost("host-" + i, "zone", "rack", HOST));
    }
    scheduler.hostsChanged();
    scheduler.setPolicies(
        Map.of(
            "policy",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
  }

  static ShareFixture withShares(int hosts) {
    return new ShareFixture(
        WorkspaceLoadSimulation.settings(Optional.of(WorkspaceShareSettings.USUAL)), hosts);
  }

  static ShareFixture withoutShares(int hosts) {
    return new ShareFixture(WorkspaceLoadSimulation.settings(Optional.empty()), hosts);
  }

  void setObjective(Objective objective) {
    scheduler.setObjectives(Map.of(CLASS, objective));
  }

  static Job job(String workspace, int tasks, ResourceAmount amount, boolean urgent) {
    return new Job(
        new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, CLASS)),
        workspace,
        "zone",
        Optional.empty(),
        tasks,
        amount,
        Adjacency.ANY,
        RUN_MS / 1000,
        true,
        urgent,
        JobPhase.SUBMITTED);
  }

  void submit(String name, String workspace, int tasks, ResourceAmount amount) {
    scheduler.submit(name, job(workspace, tasks, amount, false), nowMs);
  }

  /** Submits a job of one task. */
  void submit(String name, String workspace, ResourceAmount amount) {
    submit(name, workspace, 1, amount);
  }

  /** Adds an attempt of one task that began some time ago. */
  void adopt(String name, String workspace, ResourceAmount amount, String host, long ranMs) {
    Placement placement = new Placement(Collections.nCopies(1, host));
    Job job = job(workspace, 1, amount, false);
    scheduler.adopt("run-" + name, name, job, nowMs - ranMs, placement, nowMs - ranMs);
  }

  /** Adds an attempt of one task that runs until it is cancelled. */
  void adoptLongRunning(String name, String workspace, ResourceAmount amount, String host) {
    JobOptions options =
        new JobOptions(
            0,
            Set.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false,
            true);
    Job job = job(workspace, 1, amount, false).withOptions(options);
    scheduler.adopt("run-" + name, name, job, nowMs, new Placement(List.of(host)), nowMs);
  }

  /** Runs a pass and returns the names of the jobs that start, in order. */
  List<String> startedNow() {
    return started(scheduler.decide(nowMs));
  }

  static List<String> started(List<Decision> decisions) {
    List<String> names = new ArrayList<>();
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        names.add(start.jobName());
      }
    }
    return names;
  }

  /** Ends the attempt of a job. */
  void end(String jobName) {
    scheduler.attemptEnded(scheduler.attemptOf(jobName).orElseThrow(), EndReason.SUCCEEDED, nowMs);
  }
}
