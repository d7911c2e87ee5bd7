package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
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
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * Some hosts are full and do not respond, and less than half of the capacity of the others is held:
 * a job with room starts within 3 s.
 */
final class SilentHostsTest {
  private static final int ACCELERATORS = 8;
  private static final int PROCESSORS_PER_ACCELERATOR = 4000;
  private static final int PASS_INTERVAL_MS = 250;
  private static final int MAX_WAIT_MS = 3000;
  private static final int LONG_SECONDS = 60;
  private static final int GANG_PRIORITY = 1;
  private static final int OTHER_PRIORITY = 2;
  private static final double SLOW = 1 / 0.6;
  private static final String JOB = "job";

  private final Scheduler scheduler = new Scheduler(ExpectedCompletionTest.SPEED_AWARE);
  private long nowMs = 1_000_000;

  SilentHostsTest() {
    scheduler.setPolicies(
        Map.of(
            "all",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
    scheduler.setObjectives(Map.of("urgent", new Objective(1.5, 300)));
  }

  private void addHosts(String rack, int count) {
    for (int i = 0; i < count; i++) {
      ResourceAmount capacity =
          new ResourceAmount(ACCELERATORS * PROCESSORS_PER_ACCELERATOR, 1000, ACCELERATORS);
      scheduler.cluster().add(new WorkerHost(rack + "-" + i, "zone", rack, capacity));
    }
    scheduler.hostsChanged();
  }

  private void addSilentHosts(int count) {
    addHosts("silent", count);
    for (int i = 0; i < count; i++) {
      scheduler.setHostAvailable("silent-" + i, false);
      scheduler.cluster().setHeard("silent-" + i, false);
    }
  }

  private static Job job(int tasks, int accelerators, int seconds, int priority) {
    boolean urgent = priority == 0;
    JobOptions options =
        new JobOptions(
            priority,
            Set.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false);
    return new Job(
            urgent ? new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, "urgent")) : Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            new ResourceAmount(PROCESSORS_PER_ACCELERATOR * accelerators, 1, accelerators),
            Adjacency.ANY,
            seconds,
            true,
            urgent,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private void occupy(String host, int accelerators, int seconds) {
    String name = "on-" + host;
    Job running = job(1, accelerators, seconds, 0);
    scheduler.adopt(name + ".0.0", name, running, nowMs, new Placement(List.of(host)), nowMs);
  }

  private void occupyAll(String rack, int count, int seconds) {
    for (int i = 0; i < count; i++) {
      occupy(rack + "-" + i, ACCELERATORS, seconds);
    }
  }

  private void submitUrgentWork() {
    scheduler.submit("urgent-" + nowMs, job(1, 0, 1, 0), nowMs);
  }

  private void advance(int ms, Runnable beforeEachPass) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += PASS_INTERVAL_MS) {
      beforeEachPass.run();
      scheduler.decide(nowMs);
      nowMs += PASS_INTERVAL_MS;
    }
  }

  private Optional<WaitReason.Kind> reason() {
    return scheduler.reasonKind(JOB);
  }

  // 26 of 56 accelerators of the hosts that respond are held, and the job would leave fewer free
  // than are kept for urgent work.
  private void submitJobThatUsesTheReserve() {
    addHosts("heard", 7);
    occupyAll("heard", 3, LONG_SECONDS);
    occupy("heard-3", 2, LONG_SECONDS);
    scheduler.submit(JOB, job(1, ACCELERATORS, 1, OTHER_PRIORITY), nowMs);
  }

  // All 7 hosts that respond are kept for the gang; 3 of them are full for 10 s.
  private void submitJobBehindAGang() {
    addHosts("heard", 7);
    occupyAll("heard", 3, 10);
    scheduler.submit("gang", job(7, ACCELERATORS, 10, GANG_PRIORITY), nowMs);
    scheduler.submit(JOB, job(1, 1, LONG_SECONDS, OTHER_PRIORITY), nowMs);
  }

  @Test
  void workAtSilentHostsKeepsNoCapacityForUrgentWork() {
    addSilentHosts(3);
    occupyAll("silent", 3, LONG_SECONDS);
    submitJobThatUsesTheReserve();
    advance(MAX_WAIT_MS, this::submitUrgentWork);
    assertThat(reason()).isEmpty();
    assertThat(scheduler.attemptOf(JOB)).isPresent();
  }

  @Test
  void workAtSilentHostsKeepsNoCapacityForAnEarlierJob() {
    addSilentHosts(3);
    occupyAll("silent", 3, LONG_SECONDS);
    submitJobBehindAGang();
    advance(MAX_WAIT_MS, () -> {});
    assertThat(reason()).isEmpty();
    assertThat(scheduler.attemptOf(JOB)).isPresent();
  }

  // The job would be late on the slow hosts that are free, and not on the one that is soon free.
  @Test
  void workAtSilentHostsMakesNoJobWaitLongForFasterHosts() {
    addSilentHosts(12);
    occupyAll("silent", 12, LONG_SECONDS);
    addHosts("heard", 4);
    for (int i = 1; i < 4; i++) {
      scheduler.cluster().setRunTimeRatio("heard-" + i, SLOW);
    }
    occupy("heard-0", ACCELERATORS, 5);
    scheduler.submit(JOB, job(1, ACCELERATORS, 20, 0), nowMs);
    advance(MAX_WAIT_MS, () -> {});
    assertThat(reason()).isEmpty();
    assertThat(scheduler.attemptOf(JOB)).isPresent();
  }

  // Guards against taking silent hosts off the capacity as well: they may be part of the service
  // and idle, and then less than half of it is in use.
  @Test
  void emptySilentHostsKeepNoCapacityForAnEarlierJob() {
    addSilentHosts(3);
    submitJobBehindAGang();
    occupy("heard-3", ACCELERATORS, 10);
    advance(MAX_WAIT_MS, () -> {});
    assertThat(scheduler.attemptOf(JOB)).isPresent();
  }

  // Guards against counting only hosts that may get new work: those that are left aside and respond
  // do run what they hold.
  @Test
  void workAtHostsThatRespondAndGetNoNewWorkIsInUse() {
    addHosts("leaving", 3);
    for (int i = 0; i < 3; i++) {
      scheduler.setHostAvailable("leaving-" + i, false);
    }
    occupyAll("leaving", 3, LONG_SECONDS);
    submitJobBehindAGang();
    advance(MAX_WAIT_MS, () -> {});
    assertThat(reason()).hasValue(WaitReason.Kind.KEPT_FOR_EARLIER_JOB);
  }

  @Test
  void workAtAHostThatRespondsAgainIsInUse() {
    addSilentHosts(3);
    occupyAll("silent", 3, LONG_SECONDS);
    for (int i = 0; i < 3; i++) {
      scheduler.cluster().setHeard("silent-" + i, true);
    }
    submitJobBehindAGang();
    advance(MAX_WAIT_MS, () -> {});
    assertThat(reason()).hasValue(WaitReason.Kind.KEPT_FOR_EARLIER_JOB);
  }
}
