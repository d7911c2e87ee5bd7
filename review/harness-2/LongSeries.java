package review;

import java.util.HashMap;
import java.util.Map;

/**
 * A job with times has run many tasks in all, and its last one is done. Ordinary jobs that are
 * handed in after it must still be done: none may have nothing running for 3 s beside idle runners.
 */
final class LongSeries {
  private static final int TIMES = Deployment.troubled() ? 68 : 20;
  private static final int TASKS = 1000;
  private static final int INTERVAL_MS = 850;
  private static final int ORDINARY_JOBS = 5;
  private static final int ORDINARY_STEPS = 12;
  private static final int LAST_TASK_MS = 85_000;
  // The decider may still be writing down the last ends.
  private static final int SETTLE_MS = 3000;
  // finish_s of the pages, and the 3 s of LOST.
  private static final int FINISH_MS = 14_000;
  private static final int IDLE_LIMIT_MS = 3000;
  private static final String SERIES_ID = "00000000000000ff";
  private static final String SERIES = Deployment.BATCH + SERIES_ID;

  private LongSeries() {}

  public static void main(String[] arguments) {
    IdleTimes ledger = new IdleTimes();
    Case.run(arguments, ledger, deployment -> play(deployment, ledger));
  }

  /** Counts the tasks that are done, and for how long a job had none running. */
  private static final class IdleTimes implements Runner.Ledger {
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Long> idleSinceMs = new HashMap<>();
    private final Map<String, Long> longestMs = new HashMap<>();
    private final Map<String, Integer> done = new HashMap<>();

    private static long nowMs() {
      return System.nanoTime() / 1_000_000;
    }

    synchronized int tasksDone(String id) {
      return done.getOrDefault(id, 0);
    }

    synchronized void accepted(String id) {
      idleSinceMs.put(id, nowMs());
    }

    /** Returns the longest time without a running task, up to now. */
    synchronized long longestIdleMs(String id) {
      countIdle(id);
      return longestMs.getOrDefault(id, 0L);
    }

    private void countIdle(String id) {
      if (idleSinceMs.containsKey(id)) {
        longestMs.merge(id, nowMs() - idleSinceMs.get(id), Math::max);
      }
    }

    @Override
    public synchronized void started(String runner, String task, long run, String spec) {
      String id = task.substring(0, SERIES_ID.length());
      countIdle(id);
      idleSinceMs.remove(id);
      running.merge(id, 1, Integer::sum);
    }

    @Override
    public synchronized void ended(String runner, String task, long run, String how) {
      String id = task.substring(0, SERIES_ID.length());
      done.merge(id, how.equals("done") ? 1 : 0, Integer::sum);
      if (running.merge(id, -1, Integer::sum) == 0) {
        idleSinceMs.put(id, nowMs());
      }
    }
  }

  private static int play(Deployment deployment, IdleTimes ledger) throws Exception {
    String times =
        ",\"repeat_count\":%d,\"start_at_ms\":%d,\"interval_ms\":%d"
            .formatted(TIMES, System.currentTimeMillis() + 500, INTERVAL_MS);
    String body = Deployment.job("ms=20 cpu=10", TASKS, 10, times);
    deployment.callPatiently("POST", SERIES, body, 3);
    while (ledger.tasksDone(SERIES_ID) < TIMES * TASKS) {
      if (deployment.record.nowMs() > LAST_TASK_MS) {
        deployment.record.line("too slow: " + ledger.tasksDone(SERIES_ID) + " tasks are done");
        return Case.NOT_RUN;
      }
      Thread.sleep(1000);
      deployment.record.line(ledger.tasksDone(SERIES_ID) + " tasks of the series are done");
    }
    Thread.sleep(SETTLE_MS);
    for (int i = 0; i < ORDINARY_JOBS; i++) {
      String target = Deployment.BATCH + ordinaryId(i);
      if (!deployment.callPatiently("POST", target, chain(), 2).accepted()) {
        return Case.NOT_RUN;
      }
      ledger.accepted(ordinaryId(i));
    }
    Thread.sleep(FINISH_MS);
    int lost = 0;
    for (int i = 0; i < ORDINARY_JOBS; i++) {
      long idleMs = ledger.longestIdleMs(ordinaryId(i));
      Client.Answer answer =
          deployment.callPatiently("GET", Deployment.BATCH + ordinaryId(i), "", 1);
      boolean done = answer.body().contains("succeeded");
      int ended = ledger.tasksDone(ordinaryId(i));
      boolean waits = !done && ended < ORDINARY_STEPS;
      lost += waits && idleMs > IDLE_LIMIT_MS ? 1 : 0;
      if (waits) {
        deployment.record.line(
            ended + " of its tasks are done; it had nothing running for " + idleMs + " ms");
      }
    }
    Client.Answer series = deployment.callPatiently("GET", SERIES, "", 1);
    deployment.record.line(
        "ordinary jobs not done, and with nothing running for 3 s: "
            + lost
            + " of "
            + ORDINARY_JOBS
            + "; the series, all of whose tasks are done, is shown as "
            + series.body());
    return lost > 0 ? Case.BROKEN : Case.HELD;
  }

  private static String ordinaryId(int number) {
    return String.format("%016x", 0x1000 + number);
  }

  // A chain of short steps.
  private static String chain() {
    StringBuilder steps = new StringBuilder();
    for (int i = 0; i < ORDINARY_STEPS; i++) {
      steps.append(i == 0 ? "{" : ",{\"after_rev\":[" + (i - 1) + "],");
      steps.append("\"count\":1,\"cpu\":1000,\"estimate_ms\":1000}");
    }
    return "{\"spec\":\"ms=100 cpu=1000\",\"steps\":[" + steps + "]}";
  }
}
