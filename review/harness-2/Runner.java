package review;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A sound runner that guards its capacity. What a task takes is told by its spec: "ms=N gpu=N
 * cpu=N" (cpu in thousandths of a core).
 */
final class Runner {
  private static final int MAX_HOLD_MS = 10_000;
  private static final int TICK_MS = 5;
  private static final int ENDS_AT_ONCE = 500;

  /** Notes the starts and ends of tasks. */
  interface Ledger {
    void started(String runner, String task, long run, String spec);

    void ended(String runner, String task, long run, String how);
  }

  private record Active(long run, long untilMs, int cpu, int gpu) {}

  private record End(long number, String task, long run, String how) {}

  private final String id;
  private final Store store;
  private final Ledger ledger;
  private final Web web;
  private final int cpu;
  private final int gpu;
  private final Map<String, Active> active = new LinkedHashMap<>();
  private final Map<String, Long> closed = new HashMap<>();
  private final Deque<End> ends = new ArrayDeque<>();
  private int freeCpu;
  private int freeGpu;
  private long token;
  private long leaseUntilMs;
  private long ended;

  Runner(String id, String ip, int cpu, int gpu, Store store, Ledger ledger) throws IOException {
    this.id = id;
    this.cpu = cpu;
    this.gpu = gpu;
    this.freeCpu = cpu;
    this.freeGpu = gpu;
    this.store = store;
    this.ledger = ledger;
    this.web = new Web(ip, this::handle);
    Thread clock = new Thread(this::tickForever);
    clock.setDaemon(true);
    clock.start();
  }

  /** Writes the runner's entry to the store. */
  void announce(String service, String zone, String rack) {
    String body =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":131072,"
            + "\"gpu\":%d},\"labels\":[\"a\",\"%s\"],\"clock_ms\":%d,\"seq\":1}";
    store.put(
        "keyed.servers",
        id,
        String.format(body, service, web.address(), zone, cpu, gpu, rack, nowMs()));
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void tickForever() {
    try {
      while (true) {
        Thread.sleep(TICK_MS);
        tick();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void tick() {
    long now = nowMs();
    boolean lapsed = now >= leaseUntilMs;
    for (String task : new ArrayList<>(active.keySet())) {
      if (lapsed) {
        end(task, "lapsed");
      } else if (now >= active.get(task).untilMs()) {
        end(task, "done");
      }
    }
  }

  private void end(String task, String how) {
    Active run = active.remove(task);
    freeCpu += run.cpu();
    freeGpu += run.gpu();
    closed.merge(task, run.run(), Math::max);
    ends.add(new End(++ended, task, run.run(), how));
    ledger.ended(id, task, run.run(), how);
    notifyAll();
  }

  private Web.Answer handle(Web.Call call) throws Exception {
    if (call.method().equals("GET")) {
      return Web.Answer.json(200, "{}");
    }
    String expected = call.header("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return Web.Answer.json(421, "{}");
    }
    Map<String, Object> body = Json.object(call.text());
    return switch (call.path()) {
      case "/v1/run-start" -> start(body);
      case "/v1/run-stop" -> stop(body);
      case "/v1/hold" -> hold(body);
      default -> Web.Answer.json(404, "{}");
    };
  }

  private static Web.Answer answer(int status, String reason) {
    String clock = "{\"clock_ms\":" + nowMs();
    return Web.Answer.json(
        status, reason.isEmpty() ? clock + "}" : clock + ",\"reason\":\"" + reason + "\"}");
  }

  private boolean isFenced(Map<String, Object> body) {
    long sent = Json.number(body, "fencing_token", 0);
    token = Math.max(token, sent);
    return sent < token;
  }

  private void extend(Map<String, Object> body) {
    long until = Json.number(body, "deadline_ms", 0);
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(until, nowMs() + MAX_HOLD_MS));
  }

  private synchronized Web.Answer start(Map<String, Object> body) {
    if (isFenced(body)) {
      return answer(409, "fence");
    }
    if (Json.number(body, "deadline_ms", 0) <= nowMs()) {
      return answer(409, "late");
    }
    extend(body);
    String task = Json.text(body, "task");
    long run = Json.number(body, "run_id", 0);
    Active present = active.get(task);
    if (present != null && present.run() == run) {
      return answer(200, "");
    }
    if (present != null || run <= closed.getOrDefault(task, 0L)) {
      return answer(409, "old");
    }
    Map<String, Integer> needs = needs(Json.text(body, "spec"));
    int needCpu = needs.getOrDefault("cpu", 0);
    int needGpu = needs.getOrDefault("gpu", 0);
    if (needCpu > freeCpu || needGpu > freeGpu) {
      return answer(409, "room");
    }
    freeCpu -= needCpu;
    freeGpu -= needGpu;
    active.put(task, new Active(run, nowMs() + needs.getOrDefault("ms", 100), needCpu, needGpu));
    ledger.started(id, task, run, Json.text(body, "spec"));
    return answer(200, "");
  }

  private static Map<String, Integer> needs(String spec) {
    Map<String, Integer> needs = new HashMap<>();
    for (String part : spec.split(" ")) {
      int equals = part.indexOf('=');
      if (equals > 0 && part.substring(equals + 1).matches("[0-9]+")) {
        needs.put(part.substring(0, equals), Integer.parseInt(part.substring(equals + 1)));
      }
    }
    return needs;
  }

  private synchronized Web.Answer stop(Map<String, Object> body) {
    if (isFenced(body)) {
      return answer(409, "fence");
    }
    String task = Json.text(body, "task");
    long run = Json.number(body, "run_id", 0);
    closed.merge(task, run, Math::max);
    if (active.containsKey(task) && active.get(task).run() <= run) {
      end(task, "stopped");
    }
    return answer(200, "");
  }

  private synchronized Web.Answer hold(Map<String, Object> body) throws InterruptedException {
    if (isFenced(body)) {
      return answer(409, "fence");
    }
    extend(body);
    long seen = Json.number(body, "last_seen", 0);
    while (!ends.isEmpty() && ends.peek().number() <= seen) {
      ends.poll();
    }
    long untilMs = nowMs() + Math.min(2000, Json.number(body, "wait_ms", 0));
    for (long leftMs = untilMs - nowMs(); ends.isEmpty() && leftMs > 0; leftMs = untilMs - nowMs()) {
      wait(leftMs);
    }
    List<String> running = new ArrayList<>();
    active.forEach((task, run) -> running.add("[\"" + task + "\"," + run.run() + ",\"\",50]"));
    List<String> finished = new ArrayList<>();
    for (End end : ends) {
      if (finished.size() < ENDS_AT_ONCE) {
        finished.add(
            String.format(
                "[%d,\"%s\",%d,\"%s\",\"\"]", end.number(), end.task(), end.run(), end.how()));
      }
    }
    return Web.Answer.json(
        200,
        "{\"clock_ms\":"
            + nowMs()
            + ",\"running\":["
            + String.join(",", running)
            + "],\"finished\":["
            + String.join(",", finished)
            + "]}");
  }
}
