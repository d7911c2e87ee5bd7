package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.QueuedJob;

/** Other work leaves the urgent reserve free as long as it has time to wait. */
final class UrgentReserveTest {
  private static final int SEEDS = 16;
  private static final long SUBMITTED_MS = 1000;

  private final JobObjectives objectives = new JobObjectives();
  private final UrgentReserve reserve = new UrgentReserve(50, objectives);
  private final Cluster cluster = new Cluster();

  private static SchedulerSettings withReserve(int percent) {
    return new SchedulerSettings(
        600_000, 500, 64, HostHealthSettings.SHORT_JOBS, percent, Mechanisms.ALL);
  }

  private QueuedJob queued(int accelerators) {
    Job job =
        new Job(
            new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, "batch")),
            "workspace",
            "zone",
            Optional.empty(),
            1,
            new ResourceAmount(1, 10, accelerators),
            Adjacency.ANY,
            10,
            true,
            false,
            JobPhase.SUBMITTED);
    return new QueuedJob("job", job, SUBMITTED_MS, 10);
  }

  private boolean mustWaitDuringUrgentArrivals(long nowMs) {
    reserve.recordUrgentArrival(nowMs);
    return reserve.mustWait(queued(2), cluster, nowMs);
  }

  private void holdHalf() {
    cluster.add(new WorkerHost("a", "zone", "r", new ResourceAmount(32, 1000, 8)));
    cluster.hold("other", new Placement(List.of("a")), new ResourceAmount(16, 10, 4), true);
  }

  @Test
  void jobWithoutAnObjectiveLeavesTheReserveFreeWhileUrgentWorkArrives() {
    holdHalf();
    assertThat(mustWaitDuringUrgentArrivals(1_000_000)).isTrue();
    assertThat(reserve.mustWait(queued(2), cluster, 1_010_000)).isFalse();
  }

  // A job of 10 s may take three times that plus one second, so it can wait for 21 s.
  @Test
  void jobThatMustStartNowUsesTheReserve() {
    holdHalf();
    objectives.set(Map.of("batch", new Objective(3, 1000)));
    assertThat(mustWaitDuringUrgentArrivals(SUBMITTED_MS + 20_999)).isTrue();
    assertThat(mustWaitDuringUrgentArrivals(SUBMITTED_MS + 21_000)).isFalse();
  }

  @Test
  void jobThatIsTooLateLeavesTheReserveFree() {
    holdHalf();
    objectives.set(Map.of("batch", new Objective(3, 1000)));
    assertThat(mustWaitDuringUrgentArrivals(SUBMITTED_MS + 22_999)).isFalse();
    assertThat(mustWaitDuringUrgentArrivals(SUBMITTED_MS + 23_000)).isTrue();
  }

  // Compares reserves of 30 and 45% with none over 16 seeds of two minutes: live gangs started at
  // once, and seconds of work lost. Between the two, seeds differ more than the reserves do.
  @Test
  void reservesServeLiveWorkBetterAndLoseLessWork() {
    LoadSimulation.Result none = LoadSimulation.sum(withReserve(0), SEEDS);
    for (int percent : new int[] {30, 45}) {
      LoadSimulation.Result some = LoadSimulation.sum(withReserve(percent), SEEDS);
      String all = "0%: " + none + "; " + percent + "%: " + some;
      assertWithMessage(all).that(some.liveAtOnce).isGreaterThan(none.liveAtOnce * 11 / 10);
      assertWithMessage(all).that(some.secondsLost).isLessThan(none.secondsLost * 0.85);
    }
  }
}
