package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * All entry hosts of a zone are stopped as planned and replaced one by one under load, and no
 * request is interrupted. Guards against a stop that closes the listener before the load balancer
 * has noticed, one that closes connections before the responses are written, and a handover that
 * waits until the old view expires. The slot limit of the runners always holds.
 */
final class PlannedStopIT {
  private static final int CALLERS = 12;

  /** Below the 1,500 ms or more of a handover that waits until the old view expires. */
  private static final long MAX_CALL_MS = 1400;

  @TempDir Path directory;

  @Test
  void rollingReplacementInterruptsNoRequest() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      List<TestProcess> runners = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        runners.add(cluster.startRunner("runner-" + i, "z1", "refill", 10));
      }
      StepCallers callers = StepCallers.forReads();
      List<TestProcess> entries = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        entries.add(cluster.startReadyEntry("entry-" + i, "z1"));
        callers.add(entries.get(i));
      }
      TestCluster.until(
          "a slot", () -> cluster.get(entries.get(0), "/call/refill/warm").statusCode() == 200);
      callers.start(CALLERS);
      Thread.sleep(1500);
      for (int i = 0; i < 3; i++) {
        TestProcess next = cluster.startReadyEntry("entry-" + (i + 3), "z1");
        callers.add(next);
        TestProcess old = entries.get(i);
        Thread stopping = stopThread(old);
        stopping.start();
        // The load balancer removes the host once it reports that it is not ready.
        TestCluster.until(
            "not ready", () -> cluster.get(old, "/v1/health/ready").statusCode() == 503);
        callers.remove(old);
        stopping.join();
        Thread.sleep(500);
      }
      callers.stop();
      check(cluster, runners, callers);
    }
  }

  private static Thread stopThread(TestProcess entry) {
    return new Thread(
        () -> {
          try {
            entry.stopAsPlanned();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private static void check(TestCluster cluster, List<TestProcess> runners, StepCallers callers)
      throws Exception {
    Map<String, Integer> counts = new HashMap<>();
    callers.outcomesByKey().values().forEach(o -> counts.merge(o.get(0), 1, Integer::sum));
    System.out.printf("rollingReplacement outcomes=%s longestMs=%d%n", counts, callers.longestMs());
    assertWithMessage("outcomes " + counts + " responses " + callers.unanswered())
        .that(counts.keySet())
        .containsNoneOf("lost", "none", "unknown");
    assertThat(counts.get("answered")).isGreaterThan(1000);
    assertThat(callers.mismatchedResponses()).isEqualTo(0);
    assertWithMessage("longest call").that(callers.longestMs()).isLessThan(MAX_CALL_MS);
    for (TestProcess runner : runners) {
      JsonNode ledger = cluster.json(runner, "/standin/ledger");
      assertThat(ledger.path("rejected").asLong()).isEqualTo(0);
      assertThat(ledger.path("mostSlots").asInt()).isAtMost(8);
    }
  }
}
