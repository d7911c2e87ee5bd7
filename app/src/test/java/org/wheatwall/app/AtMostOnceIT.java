package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Steps run at most once, a step reported as "not run" did not run, and each caller gets the
 * response to its own request, while runners lose, truncate, duplicate and reorder responses and
 * entry hosts of two zones are killed, paused, stopped as planned and replaced. Guards against
 * retries after a lost response, records lost with their host, hosts that act on an outdated view,
 * and responses to an earlier request on a reused connection.
 */
final class AtMostOnceIT {
  private static final int CALLERS = 24;
  private static final int PHASE_MS = Integer.getInteger("wheatwall.load-ms", 3000);

  @TempDir Path directory;

  @Test
  void noStepRunsTwiceWhileHostsAreReplaced() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1", "z2"))) {
      List<TestProcess> runners = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        for (String zone : List.of("z1", "z2")) {
          runners.add(cluster.startRunner("runner-" + zone + "-" + i, zone, "refill", 2));
        }
      }
      TestProcess a1 = cluster.startReadyEntry("entry-a1", "z1");
      TestProcess a2 = cluster.startReadyEntry("entry-a2", "z1");
      TestProcess b1 = cluster.startReadyEntry("entry-b1", "z2");
      TestProcess b2 = cluster.startReadyEntry("entry-b2", "z2");
      StepCallers callers = new StepCallers("key-");
      List.of(a1, a2, b1, b2).forEach(callers::add);
      awaitMembers(cluster, a1, 2);
      awaitMembers(cluster, b1, 2);
      for (TestProcess runner : runners) {
        injectFaults(cluster, runner);
      }
      callers.start(CALLERS);
      Thread.sleep(PHASE_MS);
      a1.kill();
      Thread.sleep(PHASE_MS);
      callers.add(cluster.startReadyEntry("entry-a3", "z1"));
      callers.remove(a1);
      b1.signal("STOP");
      Thread.sleep(PHASE_MS);
      b1.signal("CONT");
      Thread.sleep(PHASE_MS);
      callers.remove(b2);
      b2.stopAsPlanned();
      callers.add(cluster.startReadyEntry("entry-b3", "z2"));
      Thread.sleep(PHASE_MS);
      callers.stop();
      int retried = callers.retryOldSteps();
      System.out.printf("repeated=%d ", retried);
      check(cluster, runners, callers);
    }
  }

  private static void awaitMembers(TestCluster cluster, TestProcess entry, int count)
      throws Exception {
    TestCluster.until(
        "view",
        () -> {
          JsonNode view = cluster.json(entry, "/v1/state").path("view");
          return view.path("members").size() == count && view.path("acting").asBoolean();
        });
  }

  private static void injectFaults(TestCluster cluster, TestProcess runner) throws Exception {
    String behavior =
        """
        {"serviceMs": 2, "failPercent": 0, "truncatePercent": 2, "resetPercent": 2,
         "twicePercent": 3, "latePercent": 2, "reorderPercent": 5}
        """;
    cluster.send(runner, "PUT", "/standin/fault", behavior.getBytes(StandardCharsets.UTF_8));
  }

  private static void check(TestCluster cluster, List<TestProcess> runners, StepCallers callers)
      throws Exception {
    Map<String, Integer> runs = new HashMap<>();
    long rejected = 0;
    for (TestProcess runner : runners) {
      JsonNode ledger = cluster.json(runner, "/standin/ledger");
      ledger
          .path("keys")
          .fields()
          .forEachRemaining(e -> runs.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
      rejected += ledger.path("rejected").asLong();
      assertWithMessage("concurrent connections")
          .that(ledger.path("mostConnections").asInt())
          .isAtMost(64);
    }
    Map<String, Integer> counts = new HashMap<>();
    int falselyNotRun = 0;
    int falselyAnswered = 0;
    for (Map.Entry<String, List<String>> entry : callers.outcomesByKey().entrySet()) {
      List<String> outcomes = entry.getValue();
      int ran = runs.getOrDefault(entry.getKey(), 0);
      boolean answered = outcomes.contains("answered");
      String finalOutcome = answered ? "answered" : outcomes.get(outcomes.size() - 1);
      counts.merge(finalOutcome, 1, Integer::sum);
      boolean allNotRun = outcomes.stream().allMatch("not-run"::equals);
      falselyNotRun += allNotRun && ran > 0 ? 1 : 0;
      falselyAnswered += answered && ran != 1 ? 1 : 0;
    }
    int duplicated = (int) runs.values().stream().filter(count -> count > 1).count();
    System.out.printf(
        "steps=%d lastOutcomes=%s doubled=%d mixedUp=%d falselyNotRun=%d rejected=%d%n",
        callers.outcomesByKey().size(),
        counts,
        duplicated,
        callers.mismatchedResponses(),
        falselyNotRun,
        rejected);
    assertWithMessage("steps that ran twice").that(duplicated).isEqualTo(0);
    assertWithMessage("responses to another request")
        .that(callers.mismatchedResponses())
        .isEqualTo(0);
    assertWithMessage("steps reported as not-run that ran").that(falselyNotRun).isEqualTo(0);
    assertWithMessage("steps reported as answered that did not run exactly once")
        .that(falselyAnswered)
        .isEqualTo(0);
    assertWithMessage("requests beyond the slot limit").that(rejected).isEqualTo(0);
    assertThat(counts.getOrDefault("answered", 0)).isGreaterThan(1000);
  }
}
