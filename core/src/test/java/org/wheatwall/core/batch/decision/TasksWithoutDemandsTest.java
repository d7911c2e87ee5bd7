package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.RunningAttempt;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * Tasks that demand no resources fit any number of times into a capacity of zero, which is what a
 * host has for tasks that it may not run.
 */
final class TasksWithoutDemandsTest {
  private static final String SERVICE = "service";
  private static final String KIND = "kind-b";
  private static final int TASKS = 4;

  private final Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);

  @BeforeEach
  void addHosts() {
    addHost("other", "kind-a");
    addHost("first", KIND);
    addHost("second", KIND);
    scheduler.hostsChanged();
    scheduler.setPolicies(
        Map.of(
            "all",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
  }

  private void addHost(String name, String kind) {
    scheduler
        .cluster()
        .add(new WorkerHost(name, GroupJobs.ZONE, "rack", new ResourceAmount(32_000, 64_000, 8)));
    Labels labels = new Labels(Map.of(GroupJobs.serviceLabel(SERVICE), "yes", kind, "yes"));
    scheduler.cluster().setLabels(name, labels);
  }

  private void submitTasks(int spreadLimit) {
    StepSpec step =
        new StepSpec(
            TASKS,
            ResourceAmount.ZERO,
            1000,
            List.of(),
            false,
            false,
            false,
            Optional.of(KIND),
            Optional.empty(),
            spreadLimit,
            false,
            HostSharing.ORDINARY);
    BatchJob job =
        new BatchJob(
            "00000000000000a1",
            "queue",
            SERVICE,
            "workspace",
            "",
            List.of(step),
            Optional.empty(),
            0,
            1,
            0);
    for (int i = 0; i < TASKS; i++) {
      GroupKey group = GroupKey.parse("00000000000000a1.0.0." + i).orElseThrow();
      Job task = GroupJobs.of(job, group, PlacementPreferences.NONE, Optional.empty(), false);
      scheduler.submit(group.text(), task, 0);
    }
    scheduler.decide(1000);
  }

  private List<String> hostsInUse() {
    return scheduler.running().stream()
        .map(RunningAttempt::placement)
        .flatMap(placement -> placement.hosts().stream())
        .toList();
  }

  @Test
  void theyStartOnlyOnHostsWithTheLabelThatTheyNeed() {
    submitTasks(0);
    assertThat(hostsInUse()).hasSize(TASKS);
    assertThat(hostsInUse()).doesNotContain("other");
  }

  @Test
  void theyKeepToTheLimitOfTasksOnOneHost() {
    submitTasks(1);
    assertThat(hostsInUse()).containsExactly("first", "second");
  }
}
