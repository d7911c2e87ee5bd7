package org.wheatwall.standin.store;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wheatwall.standin.permit.PermitModel;
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
  public static final String API_KEY = "rehearsal-key";

  private static final int ACCELERATORS = 8;
  private static final int GANG_WAIT_MS = 3000;
  private static final int REPEAT_MS = 50;
  private static final int MAX_BODY = 64 * 1024;
  private static final int DEADLINE_MS = 1000;
  private static final String WORKER = "i-rehearsal";
  private static final PlatformDocuments.Queue QUEUE =
      new PlatformDocuments.Queue("queue", "/queue/", 1, 2, false);
  private static final PlatformDocuments.Queue PERMIT_QUEUE =
      new PlatformDocuments.Queue("permit-queue", "/permit-queue/", 1, 2, true);

  private final PlatformDocuments.Queue queue;
  private final StoreStandIn store;
  private final TaskWorkerStandIn worker;
  private final TaskLedger ledger = new TaskLedger();

  private RehearsalCluster(
      EventLoopGroup group, PlatformDocuments.Queue queue, Optional<PermitModel> permits) {
    store = StoreStandIn.start(group, anyPort());
    TaskWorkerModel model =
        new TaskWorkerModel(
            WORKER, System.currentTimeMillis(), ACCELERATORS, ledger, 0, GANG_WAIT_MS);
    permits.ifPresent(model::requirePermits);
    worker = TaskWorkerStandIn.start(group, anyPort(), model);
    this.queue = queue;
    publish(1, List.of(API_KEY));
    store.put(
        PlatformDocuments.WORKERS_TOPIC,
        WORKER,
        PlatformDocuments.workerRecord(worker.port(), model.startedAtMs(), "r1", ACCELERATORS));
  }

  /** Starts the cluster. */
  public static RehearsalCluster start(EventLoopGroup group) {
    return new RehearsalCluster(group, QUEUE, Optional.empty());
  }

  /** Starts a cluster whose worker takes only starts that carry a permit of {@code model}. */
  public static RehearsalCluster startWithPermits(EventLoopGroup group, PermitModel model) {
    return new RehearsalCluster(group, PERMIT_QUEUE, Optional.of(model));
  }

  /** Publishes a configuration with the keys of the one workspace. */
  public void publish(long version, List<String> keys) {
    store.put(
        PlatformDocuments.OPERATOR_TOPIC,
        PlatformDocuments.CONFIGURATION_KEY,
        PlatformDocuments.configuration(version, List.of("127.0.0.1"), List.of(queue), keys));
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
    String body = new String(PlatformDocuments.jobBody(plan, 2, 1, true), StandardCharsets.UTF_8);
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
    PlatformDocuments.addCallerHeaders(call, API_KEY, DEADLINE_MS);
    return client
        .send(host, call, "", DEADLINE_MS)
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
}
