package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.Objective;

/**
 * A job is rejected only if even half of the expected wait leaves it no time, and rejected
 * submitters return in the order of their attempts. Jobs have one task of 2 s and 2 s of latency
 * objective, so results are of use for three times 4 s.
 */
final class AdmissionRuleTest {
  private static final long NOW_MS = 5_000_000;
  private static final int ACCELERATORS = 10;
  private static final int HOSTS = 1;
  private static final Objective OBJECTIVE = new Objective(1, 2000);
  private static final AdmissionSettings SETTINGS = new AdmissionSettings(true, 3, 30);

  private final BacklogTracker backlog = new BacklogTracker();
  private final AdmissionRule rule = new AdmissionRule(SETTINGS, backlog);

  private static BatchJob job(String id, int tasks) {
    return BacklogTrackerTest.job(id, "w", 2, tasks, 1);
  }

  private void addBacklogOf(int waitSeconds) {
    int tasks = waitSeconds * ACCELERATORS / 2;
    backlog.addJob(BacklogTrackerTest.job("backlog", "w", 1, tasks, 1));
  }

  private Optional<AdmissionRule.Rejection> check(int tasks) {
    return rule.check(job("new", tasks), OBJECTIVE, ACCELERATORS, HOSTS, NOW_MS);
  }

  // 10 s are left after the run time, so a wait of up to 20 s is not certain to be too long.
  @Test
  void jobThatMayStillBeOfUseIsAccepted() {
    addBacklogOf(20);
    assertThat(check(1)).isEmpty();
  }

  @Test
  void jobThatCannotBeOfUseIsRejectedWithTheTimeThatTheBacklogTakes() {
    addBacklogOf(24);
    AdmissionRule.Rejection rejection = check(1).orElseThrow();
    assertThat(rejection.expectedWaitMs()).isEqualTo(24_000);
    assertThat(rejection.usefulMs()).isEqualTo(12_000);
    assertThat(rejection.retryAfterSeconds()).isEqualTo(14);
  }

  // Each rejected job has work for 1 s, which the capacity must serve before the next returns.
  @Test
  void rejectedSubmittersReturnInTheOrderOfTheirAttempts() {
    addBacklogOf(24);
    int first = check(5).orElseThrow().retryAfterSeconds();
    int second = check(5).orElseThrow().retryAfterSeconds();
    int third = check(5).orElseThrow().retryAfterSeconds();
    assertThat(second).isEqualTo(first + 1);
    assertThat(third).isEqualTo(second + 1);
  }

  @Test
  void nobodyIsAskedToStayAwayForLongerThanTheSettingsAllow() {
    addBacklogOf(1000);
    assertThat(check(1).orElseThrow().retryAfterSeconds()).isEqualTo(30);
  }

  @Test
  void jobWithoutObjectiveIsAccepted() {
    addBacklogOf(1000);
    BatchJob job = job("new", 1);
    assertThat(rule.check(job, Objective.NONE, ACCELERATORS, HOSTS, NOW_MS)).isEmpty();
  }

  @Test
  void nothingIsRejectedWithoutKnownCapacity() {
    addBacklogOf(1000);
    assertThat(rule.check(job("new", 1), OBJECTIVE, 0, HOSTS, NOW_MS)).isEmpty();
  }

  @Test
  void jobWithoutAcceleratorsIsAccepted() {
    addBacklogOf(1000);
    BatchJob job = BacklogTrackerTest.job("new", "w", 2, 1, 0);
    assertThat(rule.check(job, OBJECTIVE, ACCELERATORS, HOSTS, NOW_MS)).isEmpty();
  }

  // Which job of a priority goes first depends on the order of the queue, so that a new one may.
  @Test
  void workOfTheSamePriorityRejectsNothing() {
    addBacklogOf(1000);
    BatchJob job = BacklogTrackerTest.job("new", "w", 1, 1, 1);
    assertThat(rule.check(job, OBJECTIVE, ACCELERATORS, HOSTS, NOW_MS)).isEmpty();
  }
}
