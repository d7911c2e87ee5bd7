package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Stand-in for a runner that guards its capacity. Gangs run on it only as a whole. */
final class Runner {
  static final int CPU = 32_000;
  static final int MEMORY_MB = 65_536;
  static final int GPU = 8;

  private static final String TOPIC = "keyed.servers";
  private static final int MAX_HOLD_MS = 6000;
  private static final int STOP_MS = 50;
  private static final int MAX_ENDS = 500;
  private static final int TICK_MS = 20;

  private final String id;
  private final String zone;
  private final String kind;
  private final String rack;
  private final Store store;
  private final Jobs jobs;
  private final Record record;
  private final EndRule endRule;
  private final HttpServer server;
  private final Link link;
  private long bornMs = System.currentTimeMillis();
  private long startNanos = System.nanoTime();
  private final Map<String, Task> running = new LinkedHashMap<>();
  private final Map<String, Integer> lowestRun = new HashMap<>();
  private final List<ObjectNode> ends = new ArrayList<>();
  private String state = "ready";
  private long fence;
  private long leaseMs;
  private long lastEnd;
  private boolean gone;
  private volatile boolean refusing;
  private volatile boolean cutOff;

  /** Decides how the tasks of a scenario end. */
  interface EndRule {
    /** Returns after how long a run ends by itself, milliseconds, or -1 if it lasts. */
    long endsAfterMs(Jobs.Step step, Jobs.Run run);

    /** Returns how such a run ends. */
    default String how(Jobs.Run run) {
      return "done";
    }
  }

  /** Tasks run as long as their step says, and lasting tasks until they are stopped. */
  static final EndRule SOUND = (step, run) -> step.lasting() ? -1 : step.runMs();

  private static final class Task {
    private final Jobs.Run run;
    private final Jobs.Step step;
    private final long startedMs;
    private long stopAtMs = Long.MAX_VALUE;

    private Task(Jobs.Run run, Jobs.Step step, long startedMs) {
      this.run = run;
      this.step = step;
      this.startedMs = startedMs;
    }
  }

  Runner(
      String id,
      String ip,
      String zone,
      String kind,
      String rack,
      Store store,
      Jobs jobs,
      Record record,
      EndRule endRule)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.rack = rack;
    this.store = store;
    this.jobs = jobs;
    this.record = record;
    this.endRule = endRule;
    this.server = Http.serve(ip, this::handle);
    this.link = new Link(ip, server.getAddress());
    Http.run(this::tick);
    publish();
  }

  String id() {
    return id;
  }

  /** Makes it answer each start with 503, having done nothing, while its health is good. */
  void setRefusing(boolean next) {
    refusing = next;
  }

  /** Cuts it off from all daemons; it runs on, and its entry stays in the store. */
  void cutOff() throws IOException {
    cutOff = true;
    link.cut();
  }

  /** Crashes behind the cut, starts again under the same id, and is reached again. */
  synchronized void startAgain() throws IOException {
    List.copyOf(running.values()).forEach(task -> end(task, "died"));
    lowestRun.clear();
    ends.clear();
    lastEnd = 0;
    fence = 0;
    leaseMs = 0;
    bornMs = System.currentTimeMillis();
    startNanos = System.nanoTime();
    link.heal();
    cutOff = false;
    publish();
  }

  /** Says that it drains; it serves on. */
  synchronized void drain() throws IOException {
    state = "draining";
    publish();
  }

  /** Leaves: all that runs there dies, and its entry is dropped. */
  synchronized void leave() throws IOException {
    gone = true;
    List.copyOf(running.values()).forEach(task -> end(task, "died"));
    link.close();
    server.stop(0);
    store.put(TOPIC, id, new byte[0]);
  }

  /** Returns how many tasks of a step have room there now; none while it drains or has left. */
  synchronized int room(Jobs.Step step) {
    if (gone || cutOff || refusing || !state.equals("ready")) {
      return 0;
    }
    int tasks = (CPU - used(Jobs.Step::cpu)) / step.cpu();
    tasks = Math.min(tasks, (MEMORY_MB - used(Jobs.Step::memory)) / step.memory());
    return step.gpu() == 0 ? tasks : Math.min(tasks, (GPU - used(Jobs.Step::gpu)) / step.gpu());
  }

  /** Returns the share of its capacity that is in use, of the resource that is used most. */
  synchronized double usedShare() {
    double share = (double) used(Jobs.Step::cpu) / CPU;
    share = Math.max(share, (double) used(Jobs.Step::memory) / MEMORY_MB);
    return Math.max(share, (double) used(Jobs.Step::gpu) / GPU);
  }

  private int used(ToIntFunction<Jobs.Step> resource) {
    return running.values().stream().mapToInt(task -> resource.applyAsInt(task.step)).sum();
  }

  private long clockMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void publish() throws IOException {
    ObjectNode entry =
        Http.JSON
            .createObjectNode()
            .put("service", Platform.SERVICE)
            .put("address", link.address())
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", state)
            .put("cold_left_ms", 0)
            .put("born", bornMs)
            .put("clock_ms", clockMs())
            .put("seq", 1);
    entry.putObject("capacity").put("cpu", CPU).put("mem_mb", MEMORY_MB).put("gpu", GPU);
    entry.putArray("labels").add(kind).add(rack);
    store.put(TOPIC, id, Http.bytes(entry));
  }

  private void tick() {
    while (true) {
      synchronized (this) {
        if (gone) {
          return;
        }
        endDue();
      }
      Http.sleep(TICK_MS);
    }
  }

  private void endDue() {
    long nowMs = clockMs();
    for (Task task : List.copyOf(running.values())) {
      long afterMs = endRule.endsAfterMs(task.step, task.run);
      if (task.stopAtMs <= nowMs) {
        end(task, "stopped");
      } else if (leaseMs <= nowMs) {
        end(task, "lapsed");
      } else if (afterMs >= 0 && nowMs - task.startedMs >= afterMs) {
        end(task, endRule.how(task.run));
      }
    }
  }

  private void end(Task task, String how) {
    running.remove(task.run.task);
    lowestRun.merge(task.run.task, task.run.number, Math::max);
    task.run.how = how;
    task.run.endedAt = record.seconds();
    record.line("runner %s: run %d of %s ends %s", id, task.run.number, task.run.task, how);
    ObjectNode row = Http.JSON.createObjectNode();
    row.put("n", ++lastEnd).put("task", task.run.task).put("run", task.run.number).put("how", how);
    ends.add(row);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/health")) {
      Http.reply(exchange, 200, new byte[0]);
      return;
    }
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      Http.reply(exchange, 421, Http.JSON.createObjectNode());
      return;
    }
    JsonNode call = Http.json(body);
    switch (path) {
      case "/v1/run-start" -> start(exchange, call);
      case "/v1/run-stop" -> stop(exchange, call);
      case "/v1/hold" -> hold(exchange, call);
      default -> Http.reply(exchange, 404, new byte[0]);
    }
  }

  private ObjectNode answer() {
    return Http.JSON.createObjectNode().put("clock_ms", clockMs());
  }

  private void start(HttpExchange exchange, JsonNode call) throws IOException {
    String task = call.path("task").asText();
    int number = call.path("run_id").asInt();
    if (refusing) {
      record.line("runner %s: start of run %d of %s refused with 503", id, number, task);
      Http.reply(exchange, 503, new byte[0]);
      return;
    }
    String reason;
    synchronized (this) {
      reason = tryStart(call, task, number);
    }
    if (reason.isEmpty()) {
      Http.reply(exchange, 200, answer());
    } else {
      record.line("runner %s: start of run %d of %s refused, %s", id, number, task, reason);
      Http.reply(exchange, 409, answer().put("reason", reason));
    }
  }

  private String tryStart(JsonNode call, String name, int number) {
    if (!raiseFence(call)) {
      return "fence";
    }
    if (call.path("deadline_ms").asLong() <= clockMs()) {
      return "late";
    }
    extendLease(call);
    Task known = running.get(name);
    if (known != null && known.run.number == number) {
      return "";
    }
    if (number <= lowestRun.getOrDefault(name, 0) || known != null) {
      return "old";
    }
    Jobs.Step step = jobs.step(name);
    if (!hasRoom(step)) {
      return "room";
    }
    Jobs.Run run = jobs.start(name, number, id, record.seconds());
    record.line("runner %s: run %d of %s starts", id, number, name);
    running.put(name, new Task(run, step, clockMs()));
    return "";
  }

  private boolean hasRoom(Jobs.Step step) {
    return used(Jobs.Step::cpu) + step.cpu() <= CPU
        && used(Jobs.Step::memory) + step.memory() <= MEMORY_MB
        && used(Jobs.Step::gpu) + step.gpu() <= GPU;
  }

  private boolean raiseFence(JsonNode call) {
    long token = call.path("fencing_token").asLong();
    if (token < fence) {
      return false;
    }
    fence = token;
    return true;
  }

  private void extendLease(JsonNode call) {
    if (call.has("deadline_ms")) {
      leaseMs =
          Math.max(leaseMs, Math.min(call.path("deadline_ms").asLong(), clockMs() + MAX_HOLD_MS));
    }
  }

  private void stop(HttpExchange exchange, JsonNode call) throws IOException {
    boolean accepted;
    synchronized (this) {
      accepted = raiseFence(call);
      if (accepted) {
        String name = call.path("task").asText();
        int number = call.path("run_id").asInt();
        record.line("runner %s: stop of run %d of %s", id, number, name);
        lowestRun.merge(name, number, Math::max);
        Task task = running.get(name);
        if (task != null && task.run.number <= number) {
          task.stopAtMs = Math.min(task.stopAtMs, clockMs() + STOP_MS);
        }
      }
    }
    Http.reply(
        exchange, accepted ? 200 : 409, accepted ? answer() : answer().put("reason", "fence"));
  }

  private void hold(HttpExchange exchange, JsonNode call) throws IOException {
    ObjectNode body;
    synchronized (this) {
      if (!raiseFence(call)) {
        body = null;
      } else {
        extendLease(call);
        long seen = call.path("last_seen").asLong();
        for (Iterator<ObjectNode> rows = ends.iterator(); rows.hasNext(); ) {
          if (rows.next().path("n").asLong() <= seen) {
            rows.remove();
          }
        }
        awaitEnd(call.path("wait_ms").asLong());
        body = report();
      }
    }
    if (body == null) {
      Http.reply(exchange, 409, answer().put("reason", "fence"));
    } else {
      Http.reply(exchange, 200, body);
    }
  }

  private void awaitEnd(long waitMs) {
    long untilMs = clockMs() + waitMs;
    while (ends.isEmpty() && !gone && clockMs() < untilMs) {
      try {
        wait(Math.max(1, untilMs - clockMs()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private ObjectNode report() {
    ObjectNode body = answer().put("born", bornMs);
    ArrayNode tasks = body.putArray("running");
    for (Task task : running.values()) {
      long elapsedMs = clockMs() - task.startedMs;
      long percent =
          task.step.lasting() ? 100 : Math.min(99, 100 * elapsedMs / task.step.runMs());
      tasks.addArray().add(task.run.task).add(task.run.number).add("").add(percent).add(0);
    }
    ArrayNode finished = body.putArray("finished");
    for (ObjectNode row : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
      finished
          .addArray()
          .add(row.path("n").asLong())
          .add(row.path("task").asText())
          .add(row.path("run").asInt())
          .add(row.path("how").asText())
          .add("");
    }
    return body;
  }
}
