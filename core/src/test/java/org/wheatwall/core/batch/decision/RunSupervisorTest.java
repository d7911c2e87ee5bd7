package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.ResourceAmount;

/** Single decisions of a term, with a worker that the test plays. */
final class RunSupervisorTest {
  private static final String ID = "00000000000000aa";
  private static final int LEASE_MS = 6000;
  private static final long WALL_MS = 1_000_000;

  private final FakeEffects effects = new FakeEffects();
  private final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000), SchedulerSettings.DEFAULT, effects, 7, 0);
  private long nowMs = 100;

  /** Notes what is asked for; records are kept when the test says so. */
  private static final class FakeEffects implements RunEffects {
    private final List<LogEntry> kept = new ArrayList<>();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final List<StartOrder> starts = new ArrayList<>();
    private final List<StopOrder> stops = new ArrayList<>();

    @Override
    public void keep(List<LogEntry> entries, Runnable whenKept) {
      kept.addAll(entries);
      waiting.add(whenKept);
    }

    @Override
    public void start(StartOrder order) {
      starts.add(order);
    }

    @Override
    public void stop(StopOrder order) {
      stops.add(order);
    }

    @Override
    public void look(String worker) {}

    @Override
    public void decided(RunEvent event) {}

    private void keepAll() {
      while (!waiting.isEmpty()) {
        waiting.poll().run();
      }
    }
  }

  private static BatchJob job(int tasks, boolean gang, int maxAttempts) {
    StepSpec step =
        new StepSpec(
            tasks,
            new ResourceAmount(100, 10, 1),
            1000,
            List.of(),
            false,
            gang,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false);
    return new BatchJob(
        ID, "q", "s", "w", "", List.of(step), Optional.empty(), 1, maxAttempts, WALL_MS);
  }

  private void listWorker(String id) {
    supervisor.listWorker(
        new WorkerInfo(
            id, "127.0.0.1:1", "s", "z", "r", Set.of(), new ResourceAmount(1000, 100, 8), false),
        nowMs);
    report(id, List.of(), List.of());
  }

  private void report(
      String worker,
      List<WorkerInventory.RunningTask> running,
      List<WorkerInventory.EndedTask> ended) {
    nowMs += 10;
    WorkerInventory inventory = new WorkerInventory(nowMs, running, ended);
    supervisor.onReport(worker, inventory, nowMs - 5, nowMs, WALL_MS);
  }

  private static WorkerInventory.EndedTask end(long number, int index, int run, EndKind kind) {
    return new WorkerInventory.EndedTask(number, new TaskName(ID, 0, 0, index), run, kind, "");
  }

  private void accept(BatchJob job) {
    supervisor.accept(job, nowMs, WALL_MS);
    supervisor.tick(nowMs, WALL_MS);
  }

  private void answerStarts(OrderAnswer answer) {
    for (StartOrder order : List.copyOf(effects.starts)) {
      supervisor.onStartAnswer(order, answer, nowMs, WALL_MS);
    }
  }

  private Optional<BatchState> written() {
    return effects.kept.stream()
        .filter(entry -> entry.key().equals(LogKey.end(ID)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.End) content).state())
        .findFirst();
  }

  private JobTable tableWith(BatchJob job, LogEntry... more) {
    JobTable table = new JobTable();
    table.apply(LogEntry.of(LogKey.job(ID), new LogContent.Definition(job)), 0);
    for (int i = 0; i < more.length; i++) {
      table.apply(more[i], i + 1);
    }
    return table;
  }

  private static LogEntry activeOn(String worker) {
    GroupState state = GroupState.NEW.started(List.of(worker));
    GroupKey group = new GroupKey(ID, 0, 0, 0);
    return LogEntry.of(LogKey.group(group), new LogContent.Group(state));
  }

  @Test
  void noOrderGoesOutBeforeItsIntentIsKept() {
    listWorker("a");
    accept(job(1, false, 2));
    assertThat(effects.kept).isNotEmpty();
    assertThat(effects.starts).isEmpty();
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void anEndIsAcknowledgedOnlyOnceItIsKept() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(OrderAnswer.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledged("a")).isEqualTo(0);
    assertThat(supervisor.needsReports("a")).isTrue();
    effects.keepAll();
    assertThat(supervisor.acknowledged("a")).isEqualTo(1);
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void anEndThatIsReportedTwiceIsNotAcknowledgedEarly() {
    listWorker("a");
    accept(job(2, false, 2));
    effects.keepAll();
    answerStarts(OrderAnswer.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledged("a")).isEqualTo(0);
  }

  @Test
  void oneMemberThatIsDoneStandsForItsGang() {
    listWorker("a");
    accept(job(3, true, 2));
    effects.keepAll();
    answerStarts(OrderAnswer.DONE);
    report("a", List.of(), List.of(end(1, 2, 1, EndKind.DONE)));
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void severalFailuresOfOneRunCountOnce() {
    listWorker("a");
    accept(job(2, true, 2));
    effects.keepAll();
    answerStarts(OrderAnswer.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.FAILED), end(2, 1, 1, EndKind.FAILED)));
    assertThat(written()).isEmpty();
  }

  @Test
  void aJobFailsAfterTheFailuresItIsAllowed() {
    listWorker("a");
    accept(job(1, false, 1));
    effects.keepAll();
    answerStarts(OrderAnswer.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.FAILED)));
    assertThat(written()).hasValue(BatchState.FAILED);
  }

  @Test
  void theNextRunWaitsForTheEndOfAStartWithoutAnswer() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    for (int i = 0; i < 3; i++) {
      answerStarts(OrderAnswer.UNKNOWN);
    }
    assertThat(effects.stops).hasSize(1);
    report("a", List.of(), List.of());
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().mapToInt(StartOrder::run).max().getAsInt()).isEqualTo(1);
    supervisor.onStopAnswer(effects.stops.get(0), OrderAnswer.DONE, nowMs, WALL_MS);
    report("a", List.of(), List.of());
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().mapToInt(StartOrder::run).max().getAsInt()).isEqualTo(2);
  }

  @Test
  void aRunTakenOverCountsAsRunningUntilItsWorkerIsHeard() {
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorkerUnheard("b");
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    report("b", List.of(), List.of());
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    report("a", List.of(), List.of());
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.starts.get(0).run()).isEqualTo(2);
  }

  @Test
  void aRunTakenOverIsStartedAnewOnceEveryLeaseHasRunOut() {
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("gone")), nowMs, WALL_MS);
    listWorker("b");
    int lapseMs = SupervisorSettings.of(LEASE_MS, 60_000).lapseMs();
    nowMs = lapseMs - 10L;
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    nowMs = lapseMs + 10L;
    supervisor.tick(nowMs, WALL_MS);
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void aCancellationReadAtTheTakeOverIsCarriedOut() {
    LogEntry cancel = LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(1));
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("a"), cancel), nowMs, WALL_MS);
    listWorker("b");
    supervisor.tick(nowMs, WALL_MS);
    effects.keepAll();
    assertThat(written()).hasValue(BatchState.CANCELLED);
    assertThat(effects.stops).hasSize(1);
    assertThat(effects.starts).isEmpty();
  }

  @Test
  void aJobThatEndedIsNotTakenForANewOne() {
    listWorker("a");
    accept(job(1, false, 2));
    supervisor.cancel(ID, nowMs, WALL_MS);
    accept(job(1, false, 2));
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
  }

  private void listWorkerUnheard(String id) {
    supervisor.listWorker(
        new WorkerInfo(
            id, "127.0.0.1:2", "s", "z", "r", Set.of(), new ResourceAmount(1000, 100, 8), false),
        nowMs);
  }
}
