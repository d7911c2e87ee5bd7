package org.wheatwall.standin.store;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.standin.task.TaskWorkerModel;
import org.wheatwall.standin.task.TaskWorkerStandIn;
import org.wheatwall.wire.http.AnswerMatching;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;

/** A store, a worker and an operator's configuration on loopback: enough to run one job. */
public final class RehearsalCluster implements AutoCloseable {
  /** Key of the one workspace. */
  public static final String KEY = "rehearsal-key";

  private static final int ACCELERATORS = 8;
  private static final int GANG_WAIT_MS = 3000;
  private static final int REPEAT_MS = 50;
  private static final int MAX_BODY = 64 * 1024;
  private static final String WORKER = "i-rehearsal";

  private final StoreStandIn store;
  private final TaskWorkerStandIn worker;
  private final TaskLedger ledger = new TaskLedger();

  private RehearsalCluster(EventLoopGroup group) {
    store = StoreStandIn.start(group, anyPort());
    TaskWorkerModel model = new TaskWorkerModel(WORKER, ACCELERATORS, ledger, 0, GANG_WAIT_MS);
    worker = TaskWorkerStandIn.start(group, anyPort(), model);
    store.put("keyed.op", "config", bytes(CONFIGURATION));
    store.put("keyed.servers", WORKER, bytes(workerEntry(worker.port())));
  }

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"queue\",\"host\":\"127.0.0.1\","
          + "\"path_prefix\":\"/queue/\",\"service\":\"service\",\"priority\":1,"
          + "\"max_attempts\":2}],\"tenants\":[{\"name\":\"workspace\","
          + "\"api_keys\":[\"rehearsal-key\"]}]}";

  private static String workerEntry(int port) {
    return "{\"service\":\"service\",\"address\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"zone\",\"state\":\"ready\",\"labels\":[\"a\",\"r1\"],"
        + "\"capacity\":{\"cpu\":32000,\"mem_mb\":65536,\"gpu\":8}}";
  }

  /** Starts the cluster. */
  public static RehearsalCluster start(EventLoopGroup group) {
    return new RehearsalCluster(group);
  }

  /** Returns the address of the store. */
  public InetSocketAddress storeAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), store.port());
  }

  /** Returns the store. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns what the worker has done. */
  public TaskLedger ledger() {
    return ledger;
  }

  /** Hands a job in at an entry host and waits until it has succeeded; false after the limit. */
  public boolean runJob(EventLoopGroup group, int port, int limitMs) {
    HttpClient client = new HttpClient(group, MAX_BODY, 1, AnswerMatching.BY_ORDER);
    InetSocketAddress host = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    String plan = new TaskPlan(100, 2, 1, 0).text();
    String body =
        "{\"spec\":\""
            + plan
            + "\",\"steps\":[{\"count\":2,\"cpu\":100,\"mem_mb\":10,"
            + "\"gpu\":1,\"gang\":true,\"estimate_ms\":100}]}";
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    boolean accepted = false;
    while (System.nanoTime() < end) {
      HttpCall call = accepted ? HttpCall.of("GET", TARGET) : HttpCall.of("POST", TARGET, body);
      Optional<HttpReply> reply = send(client, host, call);
      boolean good = reply.filter(answer -> answer.status() == 200).isPresent();
      accepted = accepted || good;
      if (good && reply.get().text().contains("succeeded")) {
        return true;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(REPEAT_MS));
    }
    return false;
  }

  private static final String TARGET = "/queue/00000000000000aa";

  private static Optional<HttpReply> send(
      HttpClient client, InetSocketAddress host, HttpCall call) {
    call.with("Authorization", "Token " + KEY);
    return client
        .send(host, call, "", 1000)
        .<Optional<HttpReply>>thenApply(Optional::of)
        .exceptionally(failure -> Optional.empty())
        .join();
  }

  @Override
  public void close() {
    worker.close();
    store.close();
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
