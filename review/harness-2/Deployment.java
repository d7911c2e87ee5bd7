package review;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback: the store, runners, the operator's configuration, and hosts. */
final class Deployment implements AutoCloseable {
  static final String HOST = "jobs.example";
  static final String KEY = "key-of-tenant-a";
  /** Prefixes of the queues of priority 0 and 2. */
  static final String URGENT = "/urgent/";

  static final String BATCH = "/batch/";

  /** Prefix of a queue of priority 2 whose jobs run on the other service. */
  static final String LAB = "/lab/";

  private static final String SERVICE = "desk";
  private static final String OTHER_SERVICE = "lab";
  private static final int READY_MS = 40_000;
  private static final int LAST_QUERY_MS = 95_000;
  // "On a tenth of the machines in use (at least two), ... three times in the day".
  private static final int FAULT_MACHINES = 2;
  private static final int FAULT_ENDS = 3;
  private static final int RUNNER_CPU = 32_000;
  private static final int RUNNER_GPU = 8;
  final Record record;
  final Store store;
  final Hosts hosts;
  final Client client = new Client(HOST, KEY, 3000);

  /**
   * Starts a deployment.
   *
   * @param otherRunners how many of the runners belong to the other service
   */
  Deployment(
      Path recordFile, int hostCount, int runners, int otherRunners, Runner.Ledger ledger)
      throws Exception {
    record = new Record(recordFile);
    store = new Store(record);
    store.put("keyed.op", "config", configuration(1));
    for (int i = 0; i < runners; i++) {
      String rack = "r" + i % 3 + "-0";
      new Runner("i-runner" + i, "127.22.0." + (i + 1), RUNNER_CPU, RUNNER_GPU, store, ledger)
          .announce(
              i < runners - otherRunners ? SERVICE : OTHER_SERVICE, "zone-" + (1 + i % 3), rack);
    }
    hosts = new Hosts(hostCount, store.gatedAddress(), store.address(), record);
  }

  static boolean troubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  private static String route(
      String name, String prefix, String service, int priority, int attempts) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"type\":\"non_idempotent\","
            + "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":%d,"
            + "\"service\":\"%s\",\"max_attempts\":%d,\"stretch\":3.0,\"public\":false}",
        name, HOST, prefix, priority, service, attempts);
  }

  private static String service(String name) {
    return String.format(
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
            + "\"tls\":false,\"enforces_capacity\":true,\"headroom\":false}",
        name);
  }

  private static String configuration(int version) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + route("urgent", URGENT, SERVICE, 0, 4)
        + ","
        + route("batch", BATCH, SERVICE, 2, 2)
        + ","
        + route("lab", LAB, OTHER_SERVICE, 2, 2)
        + "],\"services\":["
        + service(SERVICE)
        + ","
        + service(OTHER_SERVICE)
        + "],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":8}}]}";
  }

  /** Waits until every host says that it is ready; fails if one does not in time. */
  void awaitReady() throws InterruptedException {
    long untilMs = record.nowMs() + READY_MS;
    for (Hosts.Host host : hosts.all()) {
      while (client.call(host.ready, "GET", "/v1/ready", "").status() != 200) {
        if (record.nowMs() > untilMs) {
          throw new IllegalStateException(host.name + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    record.line("all hosts are ready");
  }

  /** Sends a call as a patient client does: at the next host after no answer, 5xx or 429. */
  Client.Answer callPatiently(String method, String target, String body, int attempts)
      throws InterruptedException {
    Client.Answer answer = Client.Answer.NONE;
    for (int i = 0; i < attempts; i++) {
      Hosts.Host host = hosts.all().get(i % hosts.all().size());
      answer = client.call(host.jobs, method, target, body);
      record.line(method + " " + target + " at " + host.name + ": " + answer);
      if (answer.status() != 0 && answer.status() != 429 && answer.status() < 500) {
        return answer;
      }
      Thread.sleep(500);
    }
    return answer;
  }

  /**
   * Asks for the states of ordinary jobs, as far as there is time, and judges by two rules. LOST: a
   * job is not answered in time, at any of three hosts. Fault: on two machines or more, processes
   * have ended by themselves three times.
   */
  int judgeOrdinaryJobs(List<String> targets) throws InterruptedException {
    int asked = 0;
    int unanswered = 0;
    int notDone = 0;
    for (String target : targets) {
      if (record.nowMs() < LAST_QUERY_MS) {
        asked++;
        Client.Answer answer = callPatiently("GET", target, "", 3);
        unanswered += answer.status() == 0 || answer.status() >= 500 ? 1 : 0;
        notDone += answer.body().contains("succeeded") ? 0 : 1;
      }
    }
    long faulty = hosts.all().stream().filter(host -> host.ownEnds() >= FAULT_ENDS).count();
    record.line(
        String.format(
            "%d ordinary jobs were accepted; of %d that were asked for, %d were not answered and %d"
                + " are not shown as succeeded; processes ended by themselves %d times, on %d"
                + " machines three times or more",
            targets.size(), asked, unanswered, notDone, hosts.ownEnds(), faulty));
    return unanswered > 0 || faulty >= FAULT_MACHINES ? Case.BROKEN : Case.HELD;
  }

  static String job(String spec, int count, int cpu, String more) {
    return "{\"spec\":\""
        + spec
        + "\",\"steps\":[{\"count\":"
        + count
        + ",\"cpu\":"
        + cpu
        + ",\"estimate_ms\":1000}]"
        + more
        + "}";
  }

  /** Notes every start and end in the record, and the number of starts. */
  static final class RecordingLedger implements Runner.Ledger {
    private final Map<String, Long> startsBySpec = new HashMap<>();
    private Record record;
    private int lines;

    void attach(Record next) {
      record = next;
    }

    @Override
    public synchronized void started(String runner, String task, long run, String spec) {
      startsBySpec.merge(spec, 1L, Long::sum);
      note(runner + " starts " + task + " run " + run + " with spec \"" + spec + "\"");
    }

    @Override
    public synchronized void ended(String runner, String task, long run, String how) {
      note(runner + " ends " + task + " run " + run + " " + how);
    }

    private void note(String text) {
      if (record != null && lines++ < 2000) {
        record.line(text);
      }
    }

    /** Returns the number of starts whose spec contains a text. */
    synchronized long specs(String text) {
      return startsBySpec.entrySet().stream()
          .filter(entry -> entry.getKey().contains(text))
          .mapToLong(Map.Entry::getValue)
          .sum();
    }
  }

  @Override
  public void close() {
    hosts.close();
  }
}
