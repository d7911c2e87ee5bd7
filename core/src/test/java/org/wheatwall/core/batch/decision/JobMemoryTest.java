package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;

/**
 * Guards against accepted jobs that together need more memory than a host has, and against a
 * workspace whose jobs leave none for those of others.
 */
final class JobMemoryTest {
  private static final int ONE_JOB_BYTES = (int) JobMemory.bytesOf(job("a", "w", 1));

  private static BatchJob job(String id, String workspace, int steps) {
    List<StepSpec> all = Collections.nCopies(steps, OneJobScenario.step(1, false, false, 1));
    return new BatchJob(id, "q", "s", workspace, "", all, Optional.empty(), 1, 1, 0);
  }

  @Test
  void oneWorkspaceLeavesRoomForAnother() {
    JobMemory memory = new JobMemory(20L * ONE_JOB_BYTES);
    int accepted = 0;
    while (memory.hasRoomFor(job("a" + accepted, "first", 1))) {
      memory.put(job("a" + accepted++, "first", 1), false);
    }
    assertThat(accepted).isEqualTo(10);
    assertThat(memory.hasRoomFor(job("b", "second", 1))).isTrue();
  }

  @Test
  void sumsOfAllWorkspacesStayBelowTheLimit() {
    JobMemory memory = new JobMemory(50L * ONE_JOB_BYTES);
    for (int workspace = 0; workspace < 200; workspace++) {
      for (int i = 0; i < 50; i++) {
        BatchJob job = job(workspace + "-" + i, "w" + workspace, 1);
        if (memory.hasRoomFor(job)) {
          memory.put(job, false);
        }
      }
    }
    assertThat(memory.totalBytes()).isAtMost(memory.limitBytes());
  }

  @Test
  void endedAndDroppedJobsGiveTheirMemoryBack() {
    JobMemory memory = new JobMemory(1_000_000);
    memory.put(job("a", "w", 3), false);
    long open = memory.totalBytes();
    memory.put(job("a", "w", 3), true);
    assertThat(memory.totalBytes()).isLessThan(open);
    assertThat(memory.totalBytes()).isGreaterThan(0);
    memory.remove("a");
    assertThat(memory.totalBytes()).isEqualTo(0);
    assertThat(memory.heldBy("w")).isEqualTo(0);
  }

  // 96 MB is the heap of an entry host on the users' platform.
  @Test
  void largestJobIsAcceptedWhileFewOthersAreOpen() {
    JobMemory memory = JobMemory.ofHeap(96L << 20);
    for (int i = 0; i < 1000; i++) {
      memory.put(job("small-" + i, "w", 2), false);
    }
    assertThat(memory.hasRoomFor(job("large", "w", 1000))).isTrue();
  }

  @Test
  void openJobsOfTheTargetAreAccepted() {
    JobMemory memory = JobMemory.ofHeap(96L << 20);
    for (int i = 0; i < 5000; i++) {
      BatchJob job = job("job-" + i, "team-" + i % 90, 3);
      assertThat(memory.hasRoomFor(job)).isTrue();
      memory.put(job, false);
    }
  }
}
