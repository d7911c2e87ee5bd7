package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.model.HostSpeed;

/** Which records of the job log are used to measure run times on workers. */
final class RunTimeTrackerTest {
  private static final int TASKS = 12;

  private final RunTimeTracker times = new RunTimeTracker();
  private long nowMs = 1000;

  private static GroupKey task(int job, int index) {
    return new GroupKey("job-" + job, 0, 0, index);
  }

  private void onGroupRecord(GroupKey group, GroupState state) {
    times.onGroupRecord(group, Optional.of(state), nowMs);
  }

  // Runs one task on each of two workers; the task on worker b takes twice as long.
  private void runPair(int job, String checkpoint, boolean interrupted) {
    GroupState first =
        new GroupState(GroupPhase.WAITING, 0, 0, 0, List.of(), checkpoint, List.of());
    GroupState onA = first.withRunStarted(List.of("a"));
    GroupState onB = first.withRunStarted(List.of("b"));
    onGroupRecord(task(job, 0), onA);
    onGroupRecord(task(job, 1), onB);
    nowMs += 2000;
    onGroupRecord(task(job, 0), onA.withoutActiveRun(GroupPhase.DONE));
    if (interrupted) {
      times.discardOpenRuns();
    }
    nowMs += 2000;
    onGroupRecord(task(job, 1), onB.withoutActiveRun(GroupPhase.DONE));
  }

  private void runPairs(String checkpoint, boolean interrupted) {
    for (int job = 0; job < TASKS; job++) {
      runPair(job, checkpoint, interrupted);
    }
  }

  @Test
  void workerThatTakesTwiceAsLongIsSlower() {
    runPairs("", false);
    assertThat(times.hostSpeeds().of("b")).isNotEqualTo(HostSpeed.USUAL);
    assertThat(times.hostSpeeds().of("b")).isNotEqualTo(HostSpeed.FASTER);
  }

  @Test
  void runsFromACheckpointAreNotCompared() {
    runPairs("saved", false);
    assertThat(times.hostSpeeds().of("b")).isEqualTo(HostSpeed.USUAL);
  }

  @Test
  void runsDuringALogOutageAreNotCompared() {
    runPairs("", true);
    assertThat(times.hostSpeeds().of("b")).isEqualTo(HostSpeed.USUAL);
  }

  @Test
  void gangTasksAndStoppedRunsAreNotCompared() {
    for (int job = 0; job < TASKS; job++) {
      GroupKey gang = GroupKey.gang("gang-" + job, 0, 0);
      GroupState onBoth = GroupState.NEW.withRunStarted(List.of("a", "b"));
      onGroupRecord(gang, onBoth);
      GroupState single = GroupState.NEW.withRunStarted(List.of("b"));
      onGroupRecord(task(job, 0), single);
      nowMs += 9000;
      onGroupRecord(gang, onBoth.withoutActiveRun(GroupPhase.DONE));
      onGroupRecord(task(job, 0), single.withoutActiveRun(GroupPhase.WAITING));
      times.onGroupRecord(task(job, 1), Optional.empty(), nowMs);
    }
    assertThat(times.hostSpeeds().takeChanged()).isEmpty();
  }
}
