package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Which work is placed on hosts that failed a task, and when quarantine and probation end. */
final class HostHealthTest {
  private static final HostHealthSettings SETTINGS = new HostHealthSettings(1, 1000, 60_000, 4000);
  private static final long FAILED_MS = 10_000;
  private static final long FIRST_RELEASE_MS = FAILED_MS + SETTINGS.firstQuarantineMs();
  private static final long SECOND_RELEASE_MS =
      FIRST_RELEASE_MS + 2L * SETTINGS.firstQuarantineMs();
  private static final long PROBATION_END_MS = SECOND_RELEASE_MS + SETTINGS.probationMs();

  private final Scheduler scheduler =
      new Scheduler(new SchedulerSettings(600_000, 500, 64, SETTINGS, 0, Mechanisms.ALL));
  private int submitted;

  @BeforeEach
  void addHosts() {
    addHost("a");
    addHost("b");
    scheduler.setPolicies(
        Map.of(
            "policy",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
  }

  private void addHost(String name) {
    scheduler.cluster().add(new WorkerHost(name, "zone", "rack", new ResourceAmount(32, 1000, 8)));
    scheduler.hostsChanged();
  }

  private String submit(int tasks, int accelerators, boolean urgent, long nowMs) {
    Job job =
        new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            new ResourceAmount(1, 10, accelerators),
            Adjacency.ANY,
            2,
            true,
            urgent,
            JobPhase.SUBMITTED);
    String name = "job-" + submitted++;
    scheduler.submit(name, job, nowMs);
    scheduler.decide(nowMs);
    return name;
  }

  private boolean usable(String host) {
    return scheduler.cluster().host(host).orElseThrow().usable();
  }

  private void failTask(String host, String job) {
    scheduler.taskFailed(host, job, FAILED_MS);
  }

  // Quarantines the host, releases it, and quarantines it again with the next failure.
  private void failTwice(String host) {
    failTask(host, "first on " + host);
    scheduler.decide(FIRST_RELEASE_MS);
    scheduler.taskFailed(host, "second on " + host, FIRST_RELEASE_MS);
  }

  @Test
  void aHostThatFailedOnceAcceptsAllWorkAfterItsQuarantine() {
    failTask("a", "first");
    failTask("b", "second");
    String gang = submit(2, 8, false, FAILED_MS);
    assertThat(scheduler.attemptOf(gang)).isEmpty();
    scheduler.decide(FIRST_RELEASE_MS);
    assertThat(scheduler.attemptOf(gang)).isPresent();
  }

  @Test
  void aHostThatFailedTwiceGetsNoGangAndNoUrgentWorkUntilProbationEnds() {
    failTwice("a");
    failTwice("b");
    String gang = submit(2, 8, false, FAILED_MS);
    String urgent = submit(1, 8, true, FAILED_MS);
    scheduler.decide(SECOND_RELEASE_MS);
    assertThat(scheduler.attemptOf(gang)).isEmpty();
    assertThat(scheduler.attemptOf(urgent)).isEmpty();
    scheduler.decide(PROBATION_END_MS);
    assertThat(scheduler.attemptOf(urgent)).isPresent();
  }

  @Test
  void aHostOnProbationGetsOneTaskAtATime() {
    failTwice("a");
    failTwice("b");
    String first = submit(1, 1, false, FAILED_MS);
    String second = submit(1, 1, false, FAILED_MS);
    String third = submit(1, 1, false, FAILED_MS);
    scheduler.decide(SECOND_RELEASE_MS);
    assertThat(scheduler.attemptOf(first)).isPresent();
    assertThat(scheduler.attemptOf(second)).isPresent();
    assertThat(scheduler.attemptOf(third)).isEmpty();
  }

  @Test
  void aSuccessfulTaskEndsProbation() {
    failTwice("a");
    failTwice("b");
    String probe = submit(1, 1, false, FAILED_MS);
    scheduler.decide(SECOND_RELEASE_MS);
    String attempt = scheduler.attemptOf(probe).orElseThrow();
    String host = scheduler.cluster().placement(attempt).orElseThrow().hosts().get(0);
    scheduler.attemptEnded(attempt, EndReason.SUCCEEDED, SECOND_RELEASE_MS + 100);
    String urgent = submit(1, 8, true, SECOND_RELEASE_MS + 100);
    String urgentAttempt = scheduler.attemptOf(urgent).orElseThrow();
    assertThat(scheduler.cluster().placement(urgentAttempt).orElseThrow().hosts())
        .containsExactly(host);
  }

  // Guards against clearing the history of a quarantined host, which was then never released.
  @Test
  void aHostIsReleasedThoughAnEarlierTaskSucceedsDuringItsQuarantine() {
    String before = submit(1, 1, false, FAILED_MS - 5000);
    String attempt = scheduler.attemptOf(before).orElseThrow();
    String host = scheduler.cluster().placement(attempt).orElseThrow().hosts().get(0);
    failTask(host, "first");
    assertThat(usable(host)).isFalse();
    scheduler.attemptEnded(attempt, EndReason.SUCCEEDED, FAILED_MS + 100);
    assertThat(usable(host)).isFalse();
    scheduler.decide(FIRST_RELEASE_MS);
    assertThat(usable(host)).isTrue();
  }

  @Test
  void aJobThatFailsOnManyHostsQuarantinesNone() {
    failTask("a", "faulty");
    failTask("b", "faulty");
    for (int i = 2; i < FaultyJobDetector.MIN_FAILED_HOSTS; i++) {
      assertThat(usable("a")).isFalse();
      addHost("host-" + i);
      failTask("host-" + i, "faulty");
    }
    assertThat(usable("a")).isTrue();
    assertThat(usable("b")).isTrue();
  }

  // Guards against releasing both hosts as soon as the second attempt failed.
  @Test
  void aGangThatFailsOnTwoHostsQuarantinesBoth() {
    failTask("a", "gang");
    failTask("b", "gang");
    assertThat(usable("a")).isFalse();
    assertThat(usable("b")).isFalse();
  }

  @Test
  void failuresOfAJobWithManySuccessesCountAgainstItsHosts() {
    for (int i = 0; i < FaultyJobDetector.MIN_FAILED_HOSTS; i++) {
      failTask("host-" + i, "wide");
      scheduler.taskSucceeded("wide");
      scheduler.taskSucceeded("wide");
    }
    failTask("a", "wide");
    failTask("b", "wide");
    assertThat(usable("a")).isFalse();
    assertThat(usable("b")).isFalse();
  }
}
