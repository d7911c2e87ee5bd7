package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Expected ends follow the hosts of a run and its progress; learned run times do not. */
final class ExpectedEndTest {
  private static final int DECLARED_SECONDS = 10;
  private static final Job JOB =
      new Job(
          Labels.NONE,
          "w",
          "zone",
          Optional.empty(),
          2,
          new ResourceAmount(1, 10, 1),
          Adjacency.ANY,
          DECLARED_SECONDS,
          true,
          false,
          JobPhase.SUBMITTED);

  private final Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);

  @BeforeEach
  void addHosts() {
    for (String name : List.of("median", "slow")) {
      scheduler
          .cluster()
          .add(new WorkerHost(name, "zone", "rack", new ResourceAmount(32, 1000, 8)));
    }
    scheduler.cluster().setRunTimeRatio("slow", 2);
  }

  private double expectedEndMs(String attemptId) {
    return scheduler.running().stream()
        .filter(attempt -> attempt.attemptId().equals(attemptId))
        .findFirst()
        .orElseThrow()
        .expectedEndMs();
  }

  private void adopt(String attemptId, String... hosts) {
    scheduler.adopt(attemptId, "job-" + attemptId, JOB, 0, new Placement(List.of(hosts)), 0);
  }

  @Test
  void slowestHostDecidesTheExpectedEnd() {
    adopt("a", "median", "median");
    adopt("b", "median", "slow");
    assertThat(expectedEndMs("a")).isEqualTo(DECLARED_SECONDS * 1000.0);
    assertThat(expectedEndMs("b")).isEqualTo(DECLARED_SECONDS * 2000.0);
  }

  @Test
  void progressReplacesTheExpectedEnd() {
    adopt("a", "median", "slow");
    scheduler.observeRemaining("a", 500, 4000);
    assertThat(expectedEndMs("a")).isEqualTo(4500.0);
    assertThat(scheduler.expectedRunMs("a").orElseThrow()).isEqualTo(4500);
  }

  @Test
  void progressOfAnUnknownRunIsIgnored() {
    scheduler.observeRemaining("none", 500, 4000);
    assertThat(scheduler.running()).isEmpty();
  }

  // Declared times are right on the median host, so nothing is learned from runs on a slow one.
  @Test
  void learnedRunTimesDoNotDependOnTheSpeedOfTheHosts() {
    for (int i = 0; i < 30; i++) {
      adopt("run-" + i, "median", "slow");
      scheduler.attemptEnded("run-" + i, EndReason.SUCCEEDED, DECLARED_SECONDS * 2000L);
    }
    adopt("next", "median", "median");
    assertThat(expectedEndMs("next")).isWithin(1).of(DECLARED_SECONDS * 1000);
  }
}
