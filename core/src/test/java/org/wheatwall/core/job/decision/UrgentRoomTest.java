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

/** Other work leaves room for urgent work as long as it has time for that. */
final class UrgentRoomTest {
  private static final int SEEDS = 8;
  private static final long SUBMITTED_MS = 1000;

  private final UrgentRoom room = new UrgentRoom(50);
  private final Cluster cluster = new Cluster();

  private static SchedulerSettings withRoom(int percent) {
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

  private boolean taken(long nowMs) {
    room.urgentCame(nowMs);
    return room.isTakenBy(queued(2), cluster, nowMs);
  }

  private void halfInUse() {
    cluster.add(new WorkerHost("a", "zone", "r", new ResourceAmount(32, 1000, 8)));
    cluster.hold("other", new Placement(List.of("a")), new ResourceAmount(16, 10, 4), true);
  }

  @Test
  void workWithoutAnObjectiveLeavesTheRoomWhileUrgentWorkComes() {
    halfInUse();
    assertThat(taken(1_000_000)).isTrue();
    assertThat(room.isTakenBy(queued(2), cluster, 1_010_000)).isFalse();
  }

  // A job of 10 s may take three times that and a second more, so it gives way for 21 s.
  @Test
  void workThatHasToBeginNowTakesTheRoom() {
    halfInUse();
    room.setObjectives(Map.of("batch", new Objective(3, 1000)));
    assertThat(taken(SUBMITTED_MS + 20_999)).isTrue();
    assertThat(taken(SUBMITTED_MS + 21_000)).isFalse();
  }

  @Test
  void workThatIsLateAnywayLeavesTheRoom() {
    halfInUse();
    room.setObjectives(Map.of("batch", new Objective(3, 1000)));
    assertThat(taken(SUBMITTED_MS + 22_999)).isFalse();
    assertThat(taken(SUBMITTED_MS + 23_000)).isTrue();
  }

  // 8 seeds of two minutes: with 0, 30 and 45% of room the live gangs in time, the others in time,
  // and the seconds of work that were thrown away.
  @Test
  void moreRoomServesLiveWorkBetterAndThrowsLessAway() {
    LiveLoad.Result none = LiveLoad.sum(withRoom(0), SEEDS);
    LiveLoad.Result some = LiveLoad.sum(withRoom(30), SEEDS);
    LiveLoad.Result more = LiveLoad.sum(withRoom(45), SEEDS);
    String all = "0%: " + none + "; 30%: " + some + "; 45%: " + more;
    assertWithMessage(all).that(more.liveAtOnce).isGreaterThan(some.liveAtOnce);
    assertWithMessage(all).that(some.liveAtOnce).isGreaterThan(none.liveAtOnce);
    assertWithMessage(all).that(more.secondsThrownAway).isLessThan(some.secondsThrownAway);
  }
}
