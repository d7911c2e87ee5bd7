package org.wheatwall.app;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wheatwall.app.load.LoadGenerator;
import org.wheatwall.app.load.LoadPlan;
import org.wheatwall.app.load.LoadResult;
import org.wheatwall.core.request.decision.RetryBudget;
import org.wheatwall.wire.http.Addresses;

/**
 * Measures goodput when the offered load exceeds the capacity of the runners, and the extra load of
 * retries when half of all requests fail. Guards against an unbounded queue, requests that are sent
 * after their deadline, and a retry for every failure.
 */
final class OverloadIT {
  private static final int RUNNERS = 2;
  private static final int SERVICE_MS = 40;

  /** Capacity of the runners in requests per second: their slots divided by the service time. */
  private static final int CAPACITY = RUNNERS * 8 * 1000 / SERVICE_MS;

  private static final int SECONDS = 4;

  /** Default ratio of retries to first attempts that a service allows. */
  private static final double RETRY_BUDGET = 0.1;

  private static final int DEADLINE_MS = 1000;

  @TempDir Path directory;

  @Test
  void goodputIsSustainedAtFourTimesTheCapacity() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      List<TestProcess> runners = runners(cluster);
      TestProcess entry = readyEntry(cluster);
      double atCapacity = 0;
      for (double factor : List.of(0.5, 1.0, 2.0, 4.0)) {
        LoadResult result = load(entry, (int) (CAPACITY * factor));
        System.out.printf(
            "overload x%.1f goodput=%.0f of %d p50=%.0f p99=%.0f notRun=%d unknown=%d lost=%d%n",
            factor,
            result.goodput(),
            CAPACITY,
            result.answeredMs(50),
            result.answeredMs(99),
            result.count("not-run"),
            result.count("unknown"),
            result.count("lost"));
        if (factor == 1.0) {
          atCapacity = result.goodput();
        }
        if (factor > 1.0) {
          assertWithMessage("goodput at %s times the capacity", factor)
              .that(result.goodput())
              .isAtLeast(0.9 * Math.min(atCapacity, CAPACITY));
          assertWithMessage("99th percentile of the response time of answered requests, ms")
              .that(result.answeredMs(99))
              .isLessThan(DEADLINE_MS + 250.0);
        }
      }
      for (TestProcess runner : runners) {
        assertWithMessage("requests beyond the slot limit")
            .that(cluster.json(runner, "/standin/ledger").path("rejected").asLong())
            .isEqualTo(0);
      }
    }
  }

  @Test
  void retriesStayWithinTheirBudgetWhenHalfOfAllRequestsFail() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      List<TestProcess> runners = runners(cluster);
      TestProcess entry = readyEntry(cluster);
      load(entry, CAPACITY / 4);
      byte[] failing = "{\"serviceMs\": 5, \"failPercent\": 50}".getBytes(StandardCharsets.UTF_8);
      for (TestProcess runner : runners) {
        cluster.send(runner, "PUT", "/standin/fault", failing);
      }
      long before = startedRequests(cluster, runners);
      int offered = CAPACITY / 4;
      LoadResult result = load(entry, offered);
      long sent = startedRequests(cluster, runners) - before;
      double firstAttempts = offered * (double) SECONDS;
      double retries = sent - firstAttempts;
      System.out.printf(
          "retries at 50%% failures: offered=%.0f sent=%d extra=%.0f answered=%d%n",
          firstAttempts, sent, retries, result.count("answered"));
      assertWithMessage("extra requests caused by retries")
          .that(retries)
          .isAtMost(firstAttempts * RETRY_BUDGET + RetryBudget.MAX_TOKENS);
    }
  }

  private static List<TestProcess> runners(TestCluster cluster) throws Exception {
    List<TestProcess> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(cluster.startRunner("runner-" + i, "z1", "refill", SERVICE_MS));
    }
    return runners;
  }

  private static TestProcess readyEntry(TestCluster cluster) throws Exception {
    TestProcess entry = cluster.startReadyEntry("entry-0", "z1");
    TestCluster.until("slots", () -> cluster.get(entry, "/call/refill/warm").statusCode() == 200);
    load(entry, CAPACITY / 2);
    return entry;
  }

  private static LoadResult load(TestProcess entry, int perSecond) throws InterruptedException {
    InetSocketAddress target = Addresses.parse(entry.address());
    LoadPlan plan =
        new LoadPlan(
            List.of(target), "/call/refill/load", perSecond, 0, SECONDS, false, DEADLINE_MS, 400);
    return new LoadGenerator(plan).run();
  }

  private static long startedRequests(TestCluster cluster, List<TestProcess> runners)
      throws Exception {
    long started = 0;
    for (TestProcess runner : runners) {
      JsonNode ledger = cluster.json(runner, "/standin/ledger");
      started += ledger.path("begun").asLong();
    }
    return started;
  }
}
