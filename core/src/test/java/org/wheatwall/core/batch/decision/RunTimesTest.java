package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.model.HostSpeed;

/** Which records of the job log tell how long a task took on its worker. */
final class RunTimesTest {
  private static final int TASKS = 12;

  private final RunTimes times = new RunTimes();
  private long nowMs = 1000;

  private static GroupKey task(int job, int index) {
    return new GroupKey("job-" + job, 0, 0, index);
  }

  private void read(GroupKey group, GroupState state) {
    times.read(group, Optional.of(state), nowMs);
  }

  // One task each on two workers; b takes twice as long.
  private void pair(int job, String checkpoint, boolean interrupted) {
    GroupState first =
        new GroupState(GroupPhase.WAITING, 0, 0, 0, List.of(), checkpoint, List.of());
    GroupState onA = first.started(List.of("a"));
    GroupState onB = first.started(List.of("b"));
    read(task(job, 0), onA);
    read(task(job, 1), onB);
    nowMs += 2000;
    read(task(job, 0), onA.settled(GroupPhase.DONE));
    if (interrupted) {
      times.interrupted();
    }
    nowMs += 2000;
    read(task(job, 1), onB.settled(GroupPhase.DONE));
  }

  private void pairs(String checkpoint, boolean interrupted) {
    for (int job = 0; job < TASKS; job++) {
      pair(job, checkpoint, interrupted);
    }
  }

  @Test
  void aWorkerThatTakesTwiceAsLongIsSlower() {
    pairs("", false);
    assertThat(times.paces().of("b")).isNotEqualTo(HostSpeed.USUAL);
    assertThat(times.paces().of("b")).isNotEqualTo(HostSpeed.FASTER);
  }

  @Test
  void runsFromACheckpointAreNotCompared() {
    pairs("saved", false);
    assertThat(times.paces().of("b")).isEqualTo(HostSpeed.USUAL);
  }

  @Test
  void runsOverAnOutageOfTheLogAreNotCompared() {
    pairs("", true);
    assertThat(times.paces().of("b")).isEqualTo(HostSpeed.USUAL);
  }

  @Test
  void tasksOfGangsAndRunsThatWereStoppedAreNotCompared() {
    for (int job = 0; job < TASKS; job++) {
      GroupKey gang = GroupKey.gang("gang-" + job, 0, 0);
      GroupState onBoth = GroupState.NEW.started(List.of("a", "b"));
      read(gang, onBoth);
      GroupState single = GroupState.NEW.started(List.of("b"));
      read(task(job, 0), single);
      nowMs += 9000;
      read(gang, onBoth.settled(GroupPhase.DONE));
      read(task(job, 0), single.settled(GroupPhase.WAITING));
      times.read(task(job, 1), Optional.empty(), nowMs);
    }
    assertThat(times.paces().takeChanged()).isEmpty();
  }
}
