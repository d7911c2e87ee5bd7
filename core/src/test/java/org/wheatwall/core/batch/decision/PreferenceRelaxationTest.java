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

/** A group does not wait without end for the place that it prefers while others are free. */
final class PreferenceRelaxationTest {
  private static final String LASTING = "00000000000000bb";
  private static final int RACKS = 3;
  private static final int WORKERS_A_RACK = 4;
  private static final int MOST_WORKERS = 9;
  private static final int LONGEST_WAIT_MS = 3000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  private void listRacks() {
    for (int rack = 0; rack < RACKS; rack++) {
      for (int worker = 0; worker < WORKERS_A_RACK; worker++) {
        fixture.listWorker(name(rack, worker), "rack-" + rack);
      }
    }
  }

  private static String name(int rack, int worker) {
    return "worker-" + rack + "-" + worker;
  }

  private static WorkerInfo leaving(String id, String rack) {
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

  private static StepSpec step(int tasks, Optional<String> dataRack, boolean lasts) {
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
        lasts,
        HostSharing.ORDINARY);
  }

  // All racks would hold the gang, but each has a worker that may not be used.
  @Test
  void gangIsSpreadIfEveryRackLacksAWorker() {
    listRacks();
    fixture.supervisor.unreachable(name(0, 0), "no answer", fixture.nowMs);
    fixture.supervisor.listWorker(leaving(name(1, 0), "rack-1"), fixture.nowMs);
    fixture.supervisor.unlistWorker(name(2, 0), fixture.nowMs);
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(WORKERS_A_RACK, 8)));
    fixture.pass(LONGEST_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(WORKERS_A_RACK);
  }

  @Test
  void gangIsSpreadIfWorkThatLastsHoldsAWorkerOfEveryRack() {
    listRacks();
    for (int rack = 0; rack < RACKS; rack++) {
      String id = String.format("%016x", rack + 1);
      fixture.accept(SupervisorFixture.job(id, step(1, Optional.of("rack-" + rack), true)));
    }
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(WORKERS_A_RACK, 8)));
    fixture.pass(LONGEST_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(RACKS + WORKERS_A_RACK);
  }

  @Test
  void taskLeavesTheRackOfItsDataIfWorkThatLastsHoldsIt() {
    listRacks();
    Optional<String> dataRack = Optional.of("rack-0");
    fixture.accept(SupervisorFixture.job(LASTING, step(WORKERS_A_RACK, dataRack, true)));
    fixture.accept(SupervisorFixture.job(step(1, dataRack, false)));
    fixture.pass(LONGEST_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(WORKERS_A_RACK + 1);
  }

  @Test
  void taskGoesBackToAWorkerWhereItFailedIfWorkThatLastsHoldsTheOthers() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(step(1, Optional.empty(), false)));
    fixture.listWorker("b", "r");
    fixture.listWorker("c", "r");
    fixture.listWorker("d", "r");
    fixture.accept(SupervisorFixture.job(LASTING, step(1, Optional.empty(), true)));
    for (String worker : Set.of("c", "d")) {
      fixture.supervisor.unreachable(worker, "no answer", fixture.nowMs);
    }
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
    StartCommand first = fixture.effects.starts.get(0);
    fixture.answerStarts(CommandOutcome.DONE);
    TaskName task = first.task();
    fixture.report("a", new WorkerInventory.EndedTask(1, task, first.run(), EndKind.FAILED, ""));
    fixture.pass(LONGEST_WAIT_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b", "a").inOrder();
  }

  /** While most of the workers are taken, the place comes free soon enough to wait for it. */
  @Test
  void taskWaitsForTheRackOfItsDataWhileMostWorkersAreTaken() {
    listRacks();
    fixture.accept(SupervisorFixture.job(LASTING, step(MOST_WORKERS, Optional.empty(), true)));
    Optional<String> dataRack =
        fixture.effects.starts.get(0).worker().startsWith("worker-0")
            ? Optional.of("rack-0")
            : Optional.of("rack-1");
    fixture.accept(SupervisorFixture.job(step(1, dataRack, false)));
    fixture.pass(LONGEST_WAIT_MS);
    assertThat(fixture.effects.starts).hasSize(MOST_WORKERS);
  }
}
