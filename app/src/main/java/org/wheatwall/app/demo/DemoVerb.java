package org.wheatwall.app.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.EntryHost;
import org.wheatwall.standin.runner.RunnerBehavior;
import org.wheatwall.standin.runner.RunnerStandIn;
import org.wheatwall.standin.worker.TaskEvent;
import org.wheatwall.standin.worker.WorkerStandIn;

/** Runs an entry host with stand-ins in one process and checks its guarantees. */
public final class DemoVerb implements Verb {
  private static final String ZONE = "smouha-hall";
  private static final long LIST_LAG_MS = 300;
  private static final long DRAINING_BOUND_MS = 3000;
  private static final long RECLAIM_BOUND_MS = 6300;
  private static final int REQUEST_COUNT = 300;
  private static final int MAX_REQUESTS_IN_FLIGHT = 20;
  private static final String GANG =
      """
      {"workspace": "%s", "zone": "smouha-hall", "tasks": %d, "adjacency": "same-rack",%s
       "taskAmount": {"processors": 8, "memoryMb": 16384, "accelerators": 8},
       "declaredSeconds": %d, "preemptible": %s}
      """;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run everything in one process and show what it does";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options = new VerbOptions("demo");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    DemoReport report = new DemoReport(console);
    try (EmbeddedCluster cluster = new EmbeddedCluster(LIST_LAG_MS)) {
      show(cluster, report);
    } catch (IOException e) {
      throw new Refusal(RefusalKind.UNAVAILABLE, "the demo failed: " + e, "run it again");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
    report.step(
        report.failures() == 0 ? "all checks passed" : report.failures() + " checks failed");
    return report.failures() == 0 ? DONE : FAILED;
  }

  private static void show(EmbeddedCluster cluster, DemoReport report)
      throws IOException, InterruptedException {
    report.step("a zone with 2 runners of service refill, 4 workers in 2 racks, 1 entry host");
    cluster.addRunner("runner-1", ZONE, "refill", 5);
    cluster.addRunner("runner-2", ZONE, "refill", 5);
    for (int i = 1; i <= 4; i++) {
      cluster.addWorker("worker-" + i, ZONE, i <= 2 ? "rack-1" : "rack-2");
    }
    long startedNs = System.nanoTime();
    EntryHost entry = cluster.addEntryHost("entry-1", ZONE);
    DemoCaller caller = new DemoCaller(entry.httpPort());
    await("first answer", () -> caller.sendRead("prices").join().status() == 200);
    report.print("ready after %d ms", sinceMs(startedNs));
    showPublishing(caller, report);
    showRequests(cluster, caller, report);
    showDrainingRunner(cluster, caller, report);
    showLostResponses(cluster, caller, report);
    showGangs(cluster, caller, report);
  }

  private static void showPublishing(DemoCaller caller, DemoReport report)
      throws IOException, InterruptedException {
    report.step("publish two workspaces, a guaranteed shape for each, and a policy");
    String shape =
        """
        {"workspace": "%s", "zone": "smouha-hall", "tasks": 2, "adjacency": "same-rack",
         "taskAmount": {"processors": 8, "memoryMb": 16384, "accelerators": 8}}
        """;
    int accepted = 0;
    for (String workspace : List.of("nile-crescent", "coplit")) {
      accepted +=
          caller.publish("workspaces/" + workspace, "{\"labels\": {\"tier\": \"clinic\"}}") == 200
              ? 1
              : 0;
    }
    accepted +=
        caller.publish("shapes/nile-screening", shape.formatted("nile-crescent")) == 200 ? 1 : 0;
    accepted += caller.publish("shapes/coplit-porting", shape.formatted("coplit")) == 200 ? 1 : 0;
    accepted +=
        caller.publish("policies/packing", "{\"algorithm\": \"rack-packing\"}") == 200 ? 1 : 0;
    report.check(
        accepted == 5, "%d of 5 changes accepted after they were read back from the log", accepted);
    int conflicting = caller.publish("shapes/one-too-many", shape.formatted("coplit"));
    report.check(
        conflicting == 409,
        "a third shape that conflicts with the two is refused: %d",
        conflicting);
    int unversioned = caller.publish("policies/packing", "{\"algorithm\": \"best-fit\"}");
    report.check(unversioned == 412, "a change that names no version is refused: %d", unversioned);
  }

  private static void showRequests(EmbeddedCluster cluster, DemoCaller caller, DemoReport report) {
    report.step(REQUEST_COUNT + " reads, and " + REQUEST_COUNT + " steps sent three times each");
    List<CompletableFuture<DemoCaller.Reply>> reads = new ArrayList<>();
    List<CompletableFuture<DemoCaller.Reply>> steps = new ArrayList<>();
    long startedNs = System.nanoTime();
    for (int i = 0; i < REQUEST_COUNT; i++) {
      reads.add(caller.sendRead("stock/" + i));
      for (int attempt = 0; attempt < 3; attempt++) {
        steps.add(caller.sendStep("step-" + i, "mark-" + i));
      }
      if (i >= MAX_REQUESTS_IN_FLIGHT) {
        reads.get(i - MAX_REQUESTS_IN_FLIGHT).join();
        steps.get(3 * (i - MAX_REQUESTS_IN_FLIGHT)).join();
      }
    }
    long answered = reads.stream().filter(read -> read.join().outcome().equals("answered")).count();
    int mismatched = 0;
    int stepsAnswered = 0;
    for (int i = 0; i < steps.size(); i++) {
      DemoCaller.Reply reply = steps.get(i).join();
      boolean complete = reply.outcome().equals("answered");
      stepsAnswered += complete ? 1 : 0;
      mismatched += complete && !reply.body().endsWith(" mark-" + i / 3) ? 1 : 0;
    }
    report.print(
        "%d of %d reads and %d of %d step requests answered in %d ms",
        answered, REQUEST_COUNT, stepsAnswered, steps.size(), sinceMs(startedNs));
    report.check(
        mismatched == 0, "every response belongs to its request: %d mismatched", mismatched);
    report.check(
        maxRunsPerStep(cluster) <= 1, "no step ran twice: at most %d", maxRunsPerStep(cluster));
    int mostSlots =
        cluster.runners().values().stream().mapToInt(r -> r.ledger().mostSlots()).max().orElse(0);
    long rejected = cluster.runners().values().stream().mapToLong(r -> r.ledger().rejected()).sum();
    report.check(
        rejected == 0,
        "slot limit respected: at most %d of 8 in use, %d rejected",
        mostSlots,
        rejected);
  }

  private static void showDrainingRunner(
      EmbeddedCluster cluster, DemoCaller caller, DemoReport report) throws InterruptedException {
    report.step("runner-2 is listed as draining while reads continue");
    long drainingSinceMs = System.currentTimeMillis();
    cluster.markDraining("runner-2");
    while (System.currentTimeMillis() - drainingSinceMs < DRAINING_BOUND_MS / 2) {
      caller.sendRead("leaving").join();
    }
    long lastMs = cluster.runners().get("runner-2").ledger().lastBegunMs() - drainingSinceMs;
    report.check(
        lastMs < DRAINING_BOUND_MS / 2,
        "its last new request arrived %d ms after it was marked (the list lags by %d ms)",
        lastMs,
        LIST_LAG_MS);
  }

  private static void showLostResponses(
      EmbeddedCluster cluster, DemoCaller caller, DemoReport report) {
    report.step("runner-1 resets connections in the middle of responses");
    RunnerStandIn runner = cluster.runners().get("runner-1");
    runner.setBehavior(new RunnerBehavior(5, 0, 50, 50, 0, 0, 0));
    int unknown = 0;
    int secondRuns = 0;
    for (int i = 0; i < 20; i++) {
      String first = caller.sendStep("dying-" + i, "x").join().outcome();
      String second = caller.sendStep("dying-" + i, "x").join().outcome();
      unknown += first.equals("unknown") ? 1 : 0;
      secondRuns += second.equals("answered") ? 1 : 0;
    }
    runner.setBehavior(RunnerBehavior.withServiceMs(5));
    report.check(unknown == 20, "%d of 20 steps whose response was lost are \"unknown\"", unknown);
    report.check(
        secondRuns == 0 && maxRunsPerStep(cluster) <= 1,
        "a retry never ran them again: %d",
        secondRuns);
  }

  private static void showGangs(EmbeddedCluster cluster, DemoCaller caller, DemoReport report)
      throws IOException, InterruptedException {
    report.step("coplit fills all 32 accelerators with preemptible gangs");
    for (int i = 1; i <= 2; i++) {
      caller.publish("jobs/filler-" + i, GANG.formatted("coplit", 2, "", 60, "true"));
    }
    await(
        "fillers",
        () -> runningTasks(cluster, "filler-1") == 2 && runningTasks(cluster, "filler-2") == 2);
    report.print("accelerators free: %d", freeAccelerators(caller));
    report.step("nile-crescent requests its guaranteed shape");
    long requestedNs = System.nanoTime();
    String shape = " \"shape\": \"nile-screening\",";
    caller.publish("jobs/screening", GANG.formatted("nile-crescent", 2, shape, 2, "false"));
    await("the gang", () -> runningTasks(cluster, "screening") == 2);
    long reclaimMs = sinceMs(requestedNs);
    report.check(reclaimMs <= RECLAIM_BOUND_MS, "reclaimed and running after %d ms", reclaimMs);
    report.print("%s", caller.get("jobs/screening/explain").path("explanation").asText());
    await("the end of the gang", () -> phase(caller, "screening").equals("succeeded"));
    await(
        "the restart of the fillers",
        () -> runningTasks(cluster, "filler-1") + runningTasks(cluster, "filler-2") == 4);
    report.check(true, "the preempted gang runs again afterwards");
    report.check(
        partialGangStarts(cluster) == 0,
        "no gang ran partially: %d partial starts",
        partialGangStarts(cluster));
  }

  private static int runningTasks(EmbeddedCluster cluster, String job) {
    int running = 0;
    for (WorkerStandIn worker : cluster.workers().values()) {
      for (TaskEvent event : worker.ledger()) {
        if (event.jobName().equals(job)) {
          running += event.event().equals("start") ? 1 : -1;
        }
      }
    }
    return running;
  }

  // Counts attempts that did not start on exactly as many workers as their gang needs.
  private static long partialGangStarts(EmbeddedCluster cluster) {
    Map<String, Integer> missing = new HashMap<>();
    for (WorkerStandIn worker : cluster.workers().values()) {
      for (TaskEvent event : worker.ledger()) {
        if (event.event().equals("start")) {
          missing.merge(event.attemptId(), event.gangHosts() - 1, (left, gang) -> left - 1);
        }
      }
    }
    return missing.values().stream().filter(left -> left != 0).count();
  }

  private static int maxRunsPerStep(EmbeddedCluster cluster) {
    Map<String, Integer> runs = new HashMap<>();
    cluster
        .runners()
        .values()
        .forEach(
            runner -> runner.ledger().keys().forEach((k, n) -> runs.merge(k, n, Integer::sum)));
    return runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private static int freeAccelerators(DemoCaller caller) throws IOException, InterruptedException {
    return caller.get("state").path("jobs").path("acceleratorsFree").asInt();
  }

  private static String phase(DemoCaller caller, String job)
      throws IOException, InterruptedException {
    return caller.get("jobs/" + job).path("spec").path("phase").asText();
  }

  private static void await(String what, Callable<Boolean> condition)
      throws IOException, InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (System.nanoTime() < endNs) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (IOException | InterruptedException e) {
        throw e;
      } catch (Exception e) {
        throw new IOException(e);
      }
      Thread.sleep(20);
    }
    throw new IOException(what + " not reached within 10 s");
  }

  private static long sinceMs(long startedNs) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
  }
}
