package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/** Gangs are placed within one rack as long as some rack could hold them. */
final class RackGangTest {
  private static final String BUSY_JOB = "00000000000000bb";

  private final SupervisorFixture fixture = new SupervisorFixture();
  private long offset;

  private void listTwoRacks() {
    fixture.listWorker("a1", "a");
    fixture.listWorker("b1", "b");
    fixture.listWorker("b2", "b");
  }

  // A new decider reads the jobs before it knows any worker. It must not conclude that no rack can
  // hold the gang and spread it over two racks because one worker of the suitable rack is busy.
  @Test
  void aWaitingGangStillWaitsForItsRackUnderANewDecider() {
    JobTable table = new JobTable();
    BatchJob job = SupervisorFixture.job(SupervisorFixture.rackGang(2, 8));
    put(table, LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)));
    BatchJob busy = SupervisorFixture.job(BUSY_JOB, SupervisorFixture.tasks(1, 8));
    put(table, LogEntry.of(LogKey.job(busy.id()), new LogContent.Definition(busy)));
    GroupState active = GroupState.NEW.withRunStarted(List.of("b2"));
    GroupKey group = new GroupKey(busy.id(), 0, 0, 0);
    put(table, LogEntry.of(LogKey.group(group), new LogContent.Group(active)));
    fixture.adopt(table);
    fixture.listWorker("a1", "a");
    fixture.listWorker("b1", "b");
    TaskName task = new TaskName(busy.id(), 0, 0, 0);
    fixture.listWorker("b2", "b", new WorkerInventory.RunningTask(task, 1, "", 0));
    fixture.advance(1000);
    assertThat(fixture.startedOn()).isEmpty();
  }

  private void put(JobTable table, LogEntry entry) {
    table.apply(entry, offset++);
  }

  // Two workers together have accelerators for three tasks of 5, but each holds only one task.
  @Test
  void aGangThatFitsNoRackIsSpread() {
    listTwoRacks();
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(3, 5)));
    fixture.advance(1000);
    assertThat(fixture.startedOn()).containsExactly("a1", "b1", "b2");
  }

  @Test
  void aGangIsSpreadOnceItsRackIsGone() {
    fixture.listWorker("a1", "a");
    fixture.listWorker("b1", "b");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(2, 8)));
    fixture.advance(1000);
    assertThat(fixture.startedOn()).containsExactly("a1", "b1");
  }
}
