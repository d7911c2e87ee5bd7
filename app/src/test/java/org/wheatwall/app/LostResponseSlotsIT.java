package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The limit of 8 slots of a runner holds while responses are lost at saturation. Guards against a
 * slot that is reused as soon as the host abandons the response, while the runner still processes
 * the request: a duplicate of an earlier response makes the host close a connection in the middle
 * of the next request.
 */
final class LostResponseSlotsIT {
  private static final int CALLERS = 24;
  private static final int LOAD_MS = 4000;

  @TempDir Path directory;

  @Test
  void lostResponseDoesNotFreeTheSlotOfARunningRequest() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      TestProcess runner = cluster.startRunner("runner-0", "z1", "refill", 20);
      TestProcess entry = cluster.startReadyEntry("entry-0", "z1");
      cluster.send(
          runner,
          "PUT",
          "/standin/fault",
          """
          {"serviceMs": 20, "failPercent": 0, "truncatePercent": 2, "resetPercent": 2,
           "twicePercent": 20, "latePercent": 0, "reorderPercent": 5}
          """
              .getBytes(StandardCharsets.UTF_8));
      StepCallers callers = new StepCallers("lost-");
      callers.add(entry);
      callers.start(CALLERS);
      Thread.sleep(LOAD_MS);
      callers.stop();
      JsonNode ledger = cluster.json(runner, "/standin/ledger");
      System.out.printf(
          "lostAnswers begun=%d rejected=%d%n",
          ledger.path("begun").asLong(), ledger.path("rejected").asLong());
      assertWithMessage("requests beyond the slot limit")
          .that(ledger.path("rejected").asLong())
          .isEqualTo(0);
      assertThat(callers.mismatchedResponses()).isEqualTo(0);
      assertThat(ledger.path("begun").asLong()).isGreaterThan(200L);
    }
  }
}
