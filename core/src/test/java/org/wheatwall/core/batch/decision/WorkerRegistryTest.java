package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** Compares what the registry keeps with a look at every record, over random changes. */
final class WorkerRegistryTest {
  private static final int CHANGES = 2000;
  private static final int WORKERS = 12;

  private final Random random = new Random(1);
  private final WorkerRegistry registry =
      new WorkerRegistry(new Scheduler(SchedulerSettings.DEFAULT), 0, 0);

  @Test
  void countsAndRackCapacitiesStayCorrect() {
    for (int i = 0; i < CHANGES; i++) {
      change(i);
      List<WorkerRecord> all = registry.all();
      assertThat(registry.silentCount()).isEqualTo(count(all, WorkerRecord::silent));
      assertThat(registry.awaitedCount()).isEqualTo(count(all, WorkerRecord::awaitsFirstResponse));
      assertThat(registry.avoidedWorkers())
          .isEqualTo(all.stream().filter(WorkerRecord::avoided).map(WorkerRecord::id).toList());
      StepSpec step = step();
      assertThat(registry.someRackFits(step, "service", Optional.empty()))
          .isEqualTo(someRackFits(step));
    }
  }

  @Test
  void aDelayThatEndedAtOnceDoesNotHideTheNext() {
    registry.updateListing(info("a"), 0);
    registry.onResponse("a", 0);
    assertThat(registry.onStartRefused("a", 0)).isGreaterThan(0);
    registry.onStartAccepted("a");
    assertThat(registry.endStartDelays(10_000)).isFalse();
    registry.onStartRefused("a", 10_000);
    assertThat(registry.endStartDelays(10_001)).isFalse();
    assertThat(registry.endStartDelays(20_000)).isTrue();
    assertThat(registry.find("a").orElseThrow().usable()).isTrue();
  }

  // No record is kept of a superseded incarnation, so each look at it creates one.
  @Test
  void earliestLimitOfTheLastLeaseCountsUntilItIsRemoved() {
    WorkerRegistry later = new WorkerRegistry(new Scheduler(SchedulerSettings.DEFAULT), 1000, 1000);
    later.limitLastLease("a", 500);
    later.limitLastLease("a", 900);
    assertThat(later.getOrCreate("a").lastLeaseSentMs()).isEqualTo(500);
    later.remove("a");
    later.removeLastLeaseLimit("a");
    assertThat(later.getOrCreate("a").lastLeaseSentMs()).isEqualTo(1000);
  }

  private static int count(
      List<WorkerRecord> records, java.util.function.Predicate<WorkerRecord> which) {
    return (int) records.stream().filter(which).count();
  }

  private void change(long nowMs) {
    String id = "worker-" + random.nextInt(WORKERS);
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> registry.updateListing(info(id), 0);
      case 3 -> registry.markUnlisted(id, nowMs);
      case 4 -> registry.onResponse(id, nowMs);
      case 5 -> registry.markSuspected(id);
      case 6 -> registry.setAvoided(id, random.nextBoolean());
      default -> registry.remove(id);
    }
  }

  private WorkerInfo info(String id) {
    return new WorkerInfo(
        id,
        "127.0.0.1:1",
        random.nextInt(5) == 0 ? "other" : "service",
        "zone",
        "rack-" + random.nextInt(3),
        random.nextBoolean() ? Set.of("fast") : Set.of(),
        new ResourceAmount(32_000, 1000, 4 + random.nextInt(5)),
        false);
  }

  private StepSpec step() {
    return new StepSpec(
        1 + random.nextInt(12),
        new ResourceAmount(1000, 10, 1 + random.nextInt(4)),
        1000,
        List.of(),
        false,
        true,
        true,
        random.nextBoolean() ? Optional.of("fast") : Optional.empty(),
        Optional.empty(),
        random.nextInt(3),
        false,
        HostSharing.ORDINARY);
  }

  private boolean someRackFits(StepSpec step) {
    Map<String, Integer> tasksByRack = new HashMap<>();
    for (WorkerRecord record : registry.all()) {
      WorkerInfo info = record.info().orElse(null);
      if (info != null && info.service().equals("service")) {
        boolean labelled = step.hostLabel().map(info.labels()::contains).orElse(true);
        int fitting = labelled ? info.capacity().countFitting(step.taskAmount()) : 0;
        int limit = step.spreadLimit() == 0 ? fitting : Math.min(step.spreadLimit(), fitting);
        tasksByRack.merge(info.rack(), limit, Integer::sum);
      }
    }
    return registry.all().isEmpty()
        || tasksByRack.values().stream().anyMatch(tasks -> tasks >= step.tasksInGroup());
  }
}
