package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** A group does not wait forever for preferred workers while others are free. */
final class PreferenceRelaxationTest {
  private static final String LONG_RUNNING_JOB = "00000000000000bb";
  private static final int RACKS = 3;
  private static final int WORKERS_PER_RACK = 4;
  private static final int MAJORITY_OF_WORKERS = 9;
  private static final int MAX_WAIT_MS = 3000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  private void listRacks() {
    for (int rack = 0; rack < RACKS; rack++) {
      for (int worker = 0; worker < WORKERS_PER_RACK; worker++) {
        fixture.listWorker(name(rack, worker), "rack-" + rack);
      }
    }
  }

  private static String name(int rack, int worker) {
    return "worker-" + rack + "-" + worker;
  }

  private static WorkerInfo draining(String id, String rack) {
    WorkerInfo info = SupervisorFixture.info(id, rack);
    return new WorkerInfo(
        id,
        info.address(),
        info.service(),
        info.zone(),
        rack,
        info.labels(),
        info.capacity(),
        true);
  }

  private static StepSpec step(int tasks, Optional<String> dataRack, boolean longRunning) {
    return new StepSpec(
        tasks,
        new ResourceAmount(100, 10, SupervisorFixture.WORKER_ACCELERATORS),
        1000,
        List.of(),
        false,
        false,
        false,
        Optional.empty(),
        dataRack,
        0,
        longRunning,
        HostSharing.ORDINARY);
  }

  // Every rack is large enough for the gang, but each has one worker that is not usable.
  @Test
  void gangIsSpreadIfEveryRackHasAnUnusableWorker() {
    listRacks();
    fixture.supervisor.onWorkerUnreachable(name(0, 0), "no answer", fixture.nowMs);
    fixture.supervisor.listWorker(draining(name(1, 0), "rack-1"), fixture.nowMs);
    fixture.supervisor.unlistWorker(name(2, 0), fixture.nowMs);
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(WORKERS_PER_RACK, 8)));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(WORKERS_PER_RACK);
  }

  @Test
  void gangIsSpreadIfLongRunningJobsHoldAWorkerOfEveryRack() {
    listRacks();
    for (int rack = 0; rack < RACKS; rack++) {
      String id = String.format("%016x", rack + 1);
      fixture.accept(SupervisorFixture.job(id, step(1, Optional.of("rack-" + rack), true)));
    }
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(WORKERS_PER_RACK, 8)));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(RACKS + WORKERS_PER_RACK);
  }

  @Test
  void taskRunsOutsideItsDataRackIfALongRunningJobHoldsTheRack() {
    listRacks();
    Optional<String> dataRack = Optional.of("rack-0");
    fixture.accept(SupervisorFixture.job(LONG_RUNNING_JOB, step(WORKERS_PER_RACK, dataRack, true)));
    fixture.accept(SupervisorFixture.job(step(1, dataRack, false)));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(WORKERS_PER_RACK + 1);
  }

  @Test
  void taskReturnsToAWorkerWhereItFailedIfNoOtherIsFree() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(step(1, Optional.empty(), false)));
    fixture.listWorker("b", "r");
    fixture.listWorker("c", "r");
    fixture.listWorker("d", "r");
    fixture.accept(SupervisorFixture.job(LONG_RUNNING_JOB, step(1, Optional.empty(), true)));
    for (String worker : Set.of("c", "d")) {
      fixture.supervisor.onWorkerUnreachable(worker, "no answer", fixture.nowMs);
    }
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
    StartCommand first = fixture.effects.starts.get(0);
    fixture.resolveStarts(CommandOutcome.DONE);
    TaskName task = first.task();
    fixture.report("a", new WorkerInventory.EndedTask(1, task, first.run(), EndKind.FAILED, ""));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b", "a").inOrder();
  }

  // 4 of 10 workers that respond are held; with what is held at the 4 silent ones, 8 of 14.
  @Test
  void taskRunsOutsideItsDataRackIfMostOfWhatIsHeldIsHeldAtSilentWorkers() {
    listRacks();
    fixture.listWorker("extra-0", "rack-3");
    fixture.listWorker("extra-1", "rack-3");
    Optional<String> dataRack = Optional.of("rack-0");
    fixture.accept(SupervisorFixture.job(LONG_RUNNING_JOB, step(WORKERS_PER_RACK, dataRack, true)));
    fixture.accept(
        SupervisorFixture.job(
            "00000000000000cc", step(WORKERS_PER_RACK, Optional.of("rack-1"), true)));
    fixture.resolveStarts(CommandOutcome.DONE);
    for (int worker = 0; worker < WORKERS_PER_RACK; worker++) {
      fixture.supervisor.onWorkerUnreachable(name(1, worker), "no answer", fixture.nowMs);
    }
    fixture.accept(SupervisorFixture.job(step(1, dataRack, false)));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(2 * WORKERS_PER_RACK + 1);
  }

  // While most workers are in use, a preferred worker becomes free soon enough to wait for it.
  @Test
  void taskWaitsForItsDataRackWhileMostWorkersAreInUse() {
    listRacks();
    fixture.accept(
        SupervisorFixture.job(LONG_RUNNING_JOB, step(MAJORITY_OF_WORKERS, Optional.empty(), true)));
    Optional<String> dataRack =
        fixture.effects.starts.get(0).worker().startsWith("worker-0")
            ? Optional.of("rack-0")
            : Optional.of("rack-1");
    fixture.accept(SupervisorFixture.job(step(1, dataRack, false)));
    fixture.advance(MAX_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(MAJORITY_OF_WORKERS);
  }
}
