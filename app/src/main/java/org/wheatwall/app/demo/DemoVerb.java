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

/** Runs an entry host with stand-ins in one process and checks the promises while it runs. */
public final class DemoVerb implements Verb {
  private static final String ZONE = "smouha-hall";
  private static final long LIST_LAG_MS = 300;
  private static final long LEAVING_BOUND_MS = 3000;
  private static final long URGENT_BOUND_MS = 6300;
  private static final int REQUESTS = 300;
  private static final int AHEAD = 20;
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
    DemoAccount account = new DemoAccount(console);
    try (EmbeddedCluster cluster = new EmbeddedCluster(LIST_LAG_MS)) {
      show(cluster, account);
    } catch (IOException e) {
      throw new Refusal(RefusalKind.UNAVAILABLE, "the demo failed: " + e, "run it again");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
    account.step(
        account.broken() == 0 ? "every promise held" : account.broken() + " promises were broken");
    return account.broken() == 0 ? DONE : FAILED;
  }

  private static void show(EmbeddedCluster cluster, DemoAccount account)
      throws IOException, InterruptedException {
    account.step("a zone with 2 runners of service refill, 4 workers in 2 racks, 1 entry host");
    cluster.runner("runner-1", ZONE, "refill", 5);
    cluster.runner("runner-2", ZONE, "refill", 5);
    for (int i = 1; i <= 4; i++) {
      cluster.worker("worker-" + i, ZONE, i <= 2 ? "rack-1" : "rack-2");
    }
    long startedNs = System.nanoTime();
    EntryHost entry = cluster.entry("entry-1", ZONE);
    DemoCaller caller = new DemoCaller(entry.httpPort());
    await("first answer", () -> caller.read("prices").join().status() == 200);
    account.tell("ready after %d ms", sinceMs(startedNs));
    publish(caller, account);
    requests(cluster, caller, account);
    leaving(cluster, caller, account);
    dying(cluster, caller, account);
    gangs(cluster, caller, account);
  }

  private static void publish(DemoCaller caller, DemoAccount account)
      throws IOException, InterruptedException {
    account.step("publish two workspaces, a guaranteed shape for each, and a policy");
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
    account.promise(
        accepted == 5, "%d of 5 changes accepted after they were read back from the log", accepted);
    int third = caller.publish("shapes/one-too-many", shape.formatted("coplit"));
    account.promise(third == 409, "a third shape that clashes with the two is refused: %d", third);
    int race = caller.publish("policies/packing", "{\"algorithm\": \"best-fit\"}");
    account.promise(race == 412, "a change that names no version is refused: %d", race);
  }

  private static void requests(EmbeddedCluster cluster, DemoCaller caller, DemoAccount account) {
    account.step(REQUESTS + " reads, and " + REQUESTS + " steps sent three times each");
    List<CompletableFuture<DemoCaller.Reply>> reads = new ArrayList<>();
    List<CompletableFuture<DemoCaller.Reply>> steps = new ArrayList<>();
    long startedNs = System.nanoTime();
    for (int i = 0; i < REQUESTS; i++) {
      reads.add(caller.read("stock/" + i));
      for (int repeat = 0; repeat < 3; repeat++) {
        steps.add(caller.step("step-" + i, "mark-" + i));
      }
      if (i >= AHEAD) {
        reads.get(i - AHEAD).join();
        steps.get(3 * (i - AHEAD)).join();
      }
    }
    long answered = reads.stream().filter(read -> read.join().outcome().equals("answered")).count();
    int wrong = 0;
    int stepsAnswered = 0;
    for (int i = 0; i < steps.size(); i++) {
      DemoCaller.Reply reply = steps.get(i).join();
      boolean whole = reply.outcome().equals("answered");
      stepsAnswered += whole ? 1 : 0;
      wrong += whole && !reply.body().endsWith(" mark-" + i / 3) ? 1 : 0;
    }
    account.tell(
        "%d of %d reads and %d of %d sends of steps answered in %d ms",
        answered, REQUESTS, stepsAnswered, steps.size(), sinceMs(startedNs));
    account.promise(wrong == 0, "every answer is the caller's own: %d mixed up", wrong);
    account.promise(mostRuns(cluster) <= 1, "no step ran twice: at most %d", mostRuns(cluster));
    int mostSlots =
        cluster.runners().values().stream().mapToInt(r -> r.ledger().mostSlots()).max().orElse(0);
    long rejected = cluster.runners().values().stream().mapToLong(r -> r.ledger().rejected()).sum();
    account.promise(
        rejected == 0, "slots held: at most %d of 8 at once, %d rejected", mostSlots, rejected);
  }

  private static void leaving(EmbeddedCluster cluster, DemoCaller caller, DemoAccount account)
      throws InterruptedException {
    account.step("runner-2 is listed as leaving while reads go on");
    long leftAtMs = System.currentTimeMillis();
    cluster.leave("runner-2");
    while (System.currentTimeMillis() - leftAtMs < LEAVING_BOUND_MS / 2) {
      caller.read("leaving").join();
    }
    long lastMs = cluster.runners().get("runner-2").ledger().lastBegunMs() - leftAtMs;
    account.promise(
        lastMs < LEAVING_BOUND_MS / 2,
        "its last new request came %d ms after it was marked (the list lags %d ms)",
        lastMs,
        LIST_LAG_MS);
  }

  private static void dying(EmbeddedCluster cluster, DemoCaller caller, DemoAccount account) {
    account.step("runner-1 resets connections in the middle of answers");
    RunnerStandIn runner = cluster.runners().get("runner-1");
    runner.setBehavior(new RunnerBehavior(5, 0, 50, 50, 0, 0, 0));
    int unknown = 0;
    int secondRuns = 0;
    for (int i = 0; i < 20; i++) {
      String first = caller.step("dying-" + i, "x").join().outcome();
      String second = caller.step("dying-" + i, "x").join().outcome();
      unknown += first.equals("unknown") ? 1 : 0;
      secondRuns += second.equals("answered") ? 1 : 0;
    }
    runner.setBehavior(RunnerBehavior.withServiceMs(5));
    account.promise(unknown == 20, "%d of 20 steps whose answer was lost are \"unknown\"", unknown);
    account.promise(
        secondRuns == 0 && mostRuns(cluster) <= 1, "a repeat never ran them again: %d", secondRuns);
  }

  private static void gangs(EmbeddedCluster cluster, DemoCaller caller, DemoAccount account)
      throws IOException, InterruptedException {
    account.step("coplit fills all 32 accelerators with preemptible gangs");
    for (int i = 1; i <= 2; i++) {
      caller.publish("jobs/filler-" + i, GANG.formatted("coplit", 2, "", 60, "true"));
    }
    await("fillers", () -> running(cluster, "filler-1") == 2 && running(cluster, "filler-2") == 2);
    account.tell("accelerators free: %d", free(caller));
    account.step("nile-crescent asks for its guaranteed shape");
    long askedNs = System.nanoTime();
    String shape = " \"shape\": \"nile-screening\",";
    caller.publish("jobs/screening", GANG.formatted("nile-crescent", 2, shape, 2, "false"));
    await("the gang", () -> running(cluster, "screening") == 2);
    long reclaimMs = sinceMs(askedNs);
    account.promise(reclaimMs <= URGENT_BOUND_MS, "reclaimed and running after %d ms", reclaimMs);
    account.tell("%s", caller.get("jobs/screening/explain").path("explanation").asText());
    await("its end", () -> phase(caller, "screening").equals("succeeded"));
    await(
        "the filler again", () -> running(cluster, "filler-1") + running(cluster, "filler-2") == 4);
    account.promise(true, "the gang that gave way runs again afterwards");
    account.promise(
        loneParts(cluster) == 0, "no gang ran in part: %d lone parts", loneParts(cluster));
  }

  private static int running(EmbeddedCluster cluster, String job) {
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

  // Attempts that started on fewer workers than their gang has.
  private static long loneParts(EmbeddedCluster cluster) {
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

  private static int mostRuns(EmbeddedCluster cluster) {
    Map<String, Integer> runs = new HashMap<>();
    cluster
        .runners()
        .values()
        .forEach(
            runner -> runner.ledger().keys().forEach((k, n) -> runs.merge(k, n, Integer::sum)));
    return runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private static int free(DemoCaller caller) throws IOException, InterruptedException {
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
    throw new IOException(what + " did not come within 10 s");
  }

  private static long sinceMs(long startedNs) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
  }
}
