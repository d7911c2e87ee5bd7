package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInventory;

/** A step does not wait beside a worker that may run it because a permit there was not renewed. */
final class PermitRenewalTest {
  private static final int TICK_MS = 100;
  private static final int VALID_MS = 3000;
  private static final int LONG_VALID_MS = 60_000;
  private static final int RESPONSE_MS = 300;
  private static final int MORE_WORKERS_THAN_A_REQUEST = PermitRequest.MAX_WORKERS + 30;
  private static final int STEPS = 12;
  private static final int ENDLESS_MS = 1_000_000;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();
  private final Map<String, List<RunningStart>> runningByWorker = new LinkedHashMap<>();
  private final Set<String> refusing = new HashSet<>();
  private final Map<String, Integer> endsByWorker = new HashMap<>();
  private final Map<String, Long> acceptedAtMs = new LinkedHashMap<>();
  private final Map<String, Long> lastStartAtMs = new HashMap<>();
  private int validMs = LONG_VALID_MS;
  private int responseMs;
  private int runMs = ENDLESS_MS;
  private int startsSeen;
  private int requestsAnswered;
  private long requestSeenAtMs;

  private record RunningStart(StartCommand command, long endsAtMs) {}

  @BeforeEach
  void setRules() {
    fixture.supervisor.setRules(
        SchedulingRules.ofPermitQueues(Set.of(SupervisorFixture.QUEUE)), fixture.nowMs);
  }

  // A worker that is full again is asked for only after those with room.
  @Test
  void aWorkerBeyondTheFirstRequestIsAskedForOnceItHasRoom() {
    String beyond = fillFleetAndExpirePermits();
    advance(1000);
    endTasksOn(beyond);
    advance(1000);
    assertThat(lastRequest().workers()).containsExactly(beyond);
    assertThat(lastStart().worker()).isEqualTo(beyond);
  }

  @Test
  void workersWithRoomAreAskedForFirstOnceNoPermitIsLeft() {
    String beyond = fillFleetAndExpirePermits();
    advance(TICK_MS);
    fixture.supervisor.expirePermits();
    endTasksOn(beyond);
    reportAll();
    advance(TICK_MS);
    assertThat(lastRequest().workers().get(0)).isEqualTo(beyond);
    advance(TICK_MS);
    assertThat(lastStart().worker()).isEqualTo(beyond);
  }

  // Returns a worker that is not in the first request after all permits have expired.
  private String fillFleetAndExpirePermits() {
    for (int i = 0; i < MORE_WORKERS_THAN_A_REQUEST; i++) {
      list("worker-" + i);
    }
    accept(SupervisorFixture.JOB, SupervisorFixture.tasks(MORE_WORKERS_THAN_A_REQUEST + 1, 8));
    advance(8000);
    assertThat(fixture.startedOn()).containsExactlyElementsIn(runningByWorker.keySet());
    fixture.supervisor.expirePermits();
    advance(TICK_MS);
    Set<String> beyond = new HashSet<>(runningByWorker.keySet());
    beyond.removeAll(lastRequest().workers());
    assertThat(beyond).hasSize(MORE_WORKERS_THAN_A_REQUEST - PermitRequest.MAX_WORKERS);
    return beyond.iterator().next();
  }

  @Test
  void aRefusedPermitIsRenewedWhileAllOthersAreFull() {
    list("a");
    list("b");
    refusing.add("b");
    accept(SupervisorFixture.JOB, SupervisorFixture.tasks(2, 8));
    advance(TICK_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b");
    refusing.clear();
    advance(1000);
    assertThat(lastRequest().workers()).containsExactly("b");
    assertThat(fixture.startedOn()).containsExactly("a", "b", "b");
  }

  @Test
  void aPermitIsRenewedBeforeItExpiresWhereThereIsRoom() {
    list("a");
    list("b");
    validMs = VALID_MS;
    responseMs = RESPONSE_MS;
    accept(SupervisorFixture.JOB, SupervisorFixture.rackGang(3, 8));
    advance(1000);
    for (int elapsedMs = 0; elapsedMs < 3 * VALID_MS; elapsedMs += TICK_MS) {
      advance(TICK_MS);
      assertThat(fixture.supervisor.explain(SupervisorFixture.JOB).toString())
          .contains("permits for 2 workers now");
    }
  }

  @Test
  void furtherWorkersAreAskedForOnceAllPermittedOnesHaveLeft() {
    list("a");
    runMs = 0;
    validMs = VALID_MS;
    accept(SupervisorFixture.JOB, SupervisorFixture.rackGang(2, 8));
    advance(1000);
    fixture.supervisor.unlistWorker("a", fixture.nowMs);
    runningByWorker.remove("a");
    responseMs = ENDLESS_MS;
    fixture.supervisor.expirePermits();
    list("b");
    advance(1000);
    assertThat(lastRequest().workers()).containsExactly("b");
  }

  // The service processes one request at a time.
  @Test
  void stepsThatFindRoomNeedOneRequestEach() {
    assertThat(requestsOfLoad(2)).isEqualTo(STEPS);
  }

  @Test
  void stepsThatWaitOnFullWorkersRenewTheirPermitsSeldom() {
    requestsOfLoad(6);
    assertPermitsRenewedSeldom();
  }

  @Test
  void aGangThatWaitsBesideSomeRoomRenewsItsPermitsSeldom() {
    list("a");
    list("b");
    validMs = VALID_MS;
    responseMs = RESPONSE_MS;
    accept(SupervisorFixture.JOB, SupervisorFixture.rackGang(3, 8));
    advance(30_000);
    assertPermitsRenewedSeldom();
  }

  // Permits can be used for half of their validity at least, so that a step needs no more requests.
  private void assertPermitsRenewedSeldom() {
    acceptedAtMs.forEach(
        (id, acceptedMs) -> {
          long waitedMs = lastStartAtMs.getOrDefault(id, fixture.nowMs) - acceptedMs;
          assertWithMessage("requests of %s, which waited for %s ms", id, waitedMs)
              .that(
                  fixture.effects.permitRequests.stream()
                      .filter(request -> request.step().jobId().equals(id))
                      .count())
              .isAtMost(1 + waitedMs / (VALID_MS / 2));
        });
  }

  private int requestsOfLoad(int tasks) {
    for (int i = 0; i < 4; i++) {
      list("worker-" + i);
    }
    validMs = VALID_MS;
    responseMs = TICK_MS;
    runMs = 800;
    for (int i = 0; i < STEPS; i++) {
      accept(String.format("%016x", i + 1), SupervisorFixture.tasks(tasks, 8));
      advance(500);
    }
    advance(20_000);
    assertThat(fixture.startedOn()).hasSize(STEPS * tasks);
    return fixture.effects.permitRequests.size();
  }

  private void list(String worker) {
    fixture.listWorker(worker, "r1");
    runningByWorker.put(worker, new ArrayList<>());
  }

  private void accept(String id, StepSpec step) {
    acceptedAtMs.put(id, fixture.nowMs);
    fixture.accept(SupervisorFixture.job(id, step));
  }

  private PermitRequest lastRequest() {
    return fixture.effects.permitRequests.get(fixture.effects.permitRequests.size() - 1);
  }

  private StartCommand lastStart() {
    return fixture.effects.starts.get(fixture.effects.starts.size() - 1);
  }

  private void advance(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      answerRequests();
      answerStarts();
      reportAll();
      fixture.advance(TICK_MS);
    }
    answerStarts();
  }

  // Every worker may run every step.
  private void answerRequests() {
    List<PermitRequest> requests = fixture.effects.permitRequests;
    while (requestsAnswered < requests.size()) {
      requestSeenAtMs = requestSeenAtMs == 0 ? fixture.nowMs : requestSeenAtMs;
      if (fixture.nowMs < requestSeenAtMs + responseMs) {
        return;
      }
      PermitRequest request = requests.get(requestsAnswered++);
      Map<String, String> permitByWorker = new HashMap<>();
      request.workers().forEach(worker -> permitByWorker.put(worker, "permit-" + worker));
      fixture.supervisor.onPermits(
          request,
          Optional.of(new PermitResponse(permitByWorker, validMs)),
          requestSeenAtMs,
          fixture.nowMs);
      requestSeenAtMs = 0;
      fixture.decide();
    }
  }

  private void answerStarts() {
    while (startsSeen < fixture.effects.starts.size()) {
      StartCommand command = fixture.effects.starts.get(startsSeen++);
      lastStartAtMs.put(command.task().jobId(), fixture.nowMs);
      boolean refused = refusing.contains(command.worker());
      fixture.supervisor.onStartOutcome(
          command,
          refused ? CommandOutcome.NO_PERMIT : CommandOutcome.DONE,
          fixture.nowMs,
          WALL_MS);
      if (!refused) {
        runningByWorker.get(command.worker()).add(new RunningStart(command, fixture.nowMs + runMs));
      }
    }
  }

  private void endTasksOn(String worker) {
    runningByWorker
        .get(worker)
        .replaceAll(start -> new RunningStart(start.command(), fixture.nowMs));
  }

  private void reportAll() {
    runningByWorker.forEach(
        (worker, starts) -> {
          List<WorkerInventory.RunningTask> running = new ArrayList<>();
          List<WorkerInventory.EndedTask> ended = new ArrayList<>();
          for (RunningStart start : starts) {
            StartCommand command = start.command();
            if (start.endsAtMs() > fixture.nowMs) {
              running.add(new WorkerInventory.RunningTask(command.task(), command.run(), "", 0));
            } else {
              int number = endsByWorker.merge(worker, 1, Integer::sum);
              ended.add(
                  new WorkerInventory.EndedTask(
                      number, command.task(), command.run(), EndKind.DONE, ""));
            }
          }
          starts.removeIf(start -> start.endsAtMs() <= fixture.nowMs);
          fixture.supervisor.onReport(
              worker,
              new WorkerInventory(fixture.nowMs, running, ended),
              fixture.nowMs,
              fixture.nowMs,
              WALL_MS);
        });
    fixture.decide();
  }
}
