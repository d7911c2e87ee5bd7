package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.Recurrence;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** Compares the running totals with sums over all open jobs. */
final class BacklogTrackerTest {
  private static final long NOW_MS = 5_000_000;
  private static final int ESTIMATE_MS = 2000;
  private static final List<GroupPhase> PHASES = List.of(GroupPhase.values());

  private final BacklogTracker tracker = new BacklogTracker();

  static BatchJob job(String id, String workspace, int priority, int tasks, int accelerators) {
    return job(id, workspace, priority, tasks, accelerators, Optional.empty(), false);
  }

  private static BatchJob job(
      String id,
      String workspace,
      int priority,
      int tasks,
      int accelerators,
      Optional<Recurrence> recurrence,
      boolean longRunning) {
    StepSpec step =
        new StepSpec(
            tasks,
            new ResourceAmount(100, 10, accelerators),
            ESTIMATE_MS,
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            longRunning,
            HostSharing.ORDINARY);
    return new BatchJob(
        id, "queue", "service", workspace, "", List.of(step), recurrence, priority, 3, NOW_MS);
  }

  private static GroupKey group(String id, int index) {
    return new GroupKey(id, 0, 0, index);
  }

  private static GroupState phase(GroupPhase phase) {
    return GroupState.NEW.withoutActiveRun(phase);
  }

  @Test
  void onlyWorkOfHigherPrioritiesGoesAhead() {
    tracker.addJob(job("a", "w", 0, 1, 1));
    tracker.addJob(job("b", "w", 1, 10, 1));
    tracker.addJob(job("c", "w", 2, 100, 1));
    assertThat(tracker.workAbove(0)).isEqualTo(0);
    assertThat(tracker.workAbove(1)).isEqualTo(ESTIMATE_MS);
    assertThat(tracker.workAbove(2)).isEqualTo(11 * ESTIMATE_MS);
  }

  @Test
  void longRunningAndRecurringJobsAreNotCounted() {
    tracker.addJob(job("a", "w", 1, 3, 1, Optional.empty(), true));
    Optional<Recurrence> hourly = Optional.of(new Recurrence(NOW_MS, 3_600_000, 5));
    tracker.addJob(job("b", "w", 1, 3, 1, hourly, false));
    assertThat(tracker.workAbove(2)).isEqualTo(0);
  }

  @Test
  void totalsEqualSumsOverOpenJobsAfterRandomChanges() {
    Random random = new Random(3);
    Map<String, BatchJob> open = new HashMap<>();
    Map<GroupKey, GroupState> states = new HashMap<>();
    for (int i = 0; i < 3000; i++) {
      int kind = random.nextInt(10);
      if (kind < 3) {
        BatchJob added =
            job("job-" + i, "w" + random.nextInt(4), random.nextInt(3), 1 + random.nextInt(5), 2);
        open.put(added.id(), added);
        tracker.addJob(added);
      } else if (kind < 4 && !open.isEmpty()) {
        BatchJob ended = pick(open, random);
        open.remove(ended.id());
        tracker.removeJob(ended.id());
      } else if (!open.isEmpty()) {
        BatchJob changed = pick(open, random);
        GroupKey key = group(changed.id(), random.nextInt(changed.steps().get(0).tasks()));
        GroupState next = phase(PHASES.get(random.nextInt(PHASES.size())));
        tracker.onGroupChanged(key, Optional.ofNullable(states.put(key, next)), Optional.of(next));
      }
      for (int priority = 0; priority < 4; priority++) {
        assertWithMessage("change " + i)
            .that(tracker.workAbove(priority))
            .isEqualTo(sum(open, states, priority));
      }
    }
  }

  private static BatchJob pick(Map<String, BatchJob> open, Random random) {
    List<BatchJob> jobs = new ArrayList<>(open.values());
    return jobs.get(random.nextInt(jobs.size()));
  }

  private static long sum(
      Map<String, BatchJob> open, Map<GroupKey, GroupState> states, int priority) {
    long sum = 0;
    for (BatchJob job : open.values()) {
      for (int i = 0; job.priority() < priority && i < job.steps().get(0).tasks(); i++) {
        GroupState state = states.getOrDefault(group(job.id(), i), GroupState.NEW);
        sum += state.phase() == GroupPhase.WAITING ? 2L * ESTIMATE_MS : 0;
      }
    }
    return sum;
  }
}
