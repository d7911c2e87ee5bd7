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
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.ResponseMatching;

/** A minimal cluster on loopback that can run one job: store, worker and configuration. */
public final class RehearsalCluster implements AutoCloseable {
  /** API key of the workspace. */
  public static final String API_KEY = "rehearsal-key";

  private static final int ACCELERATORS = 8;
  private static final int GANG_WAIT_MS = 3000;
  private static final int POLL_INTERVAL_MS = 50;
  private static final int MAX_BODY_BYTES = 64 * 1024;
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
    store = StoreStandIn.start(group, ephemeralPort());
    TaskWorkerModel model =
        new TaskWorkerModel(
            WORKER, System.currentTimeMillis(), ACCELERATORS, ledger, 0, GANG_WAIT_MS);
    permits.ifPresent(model::requirePermits);
    worker = TaskWorkerStandIn.start(group, ephemeralPort(), model);
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

  /** Starts a cluster whose worker accepts only start commands with a permit of {@code model}. */
  public static RehearsalCluster startWithPermits(EventLoopGroup group, PermitModel model) {
    return new RehearsalCluster(group, PERMIT_QUEUE, Optional.of(model));
  }

  /** Publishes a configuration in which the workspace has the given API keys. */
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

  /** Returns the ledger of the worker. */
  public TaskLedger ledger() {
    return ledger;
  }

  /**
   * Submits a job to an entry host and waits until it succeeds.
   *
   * @return whether the job succeeded within {@code timeoutMs}
   */
  public boolean runJob(EventLoopGroup group, int port, int timeoutMs) {
    HttpClient client = new HttpClient(group, MAX_BODY_BYTES, 1, ResponseMatching.BY_ORDER);
    InetSocketAddress host = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    String plan = new TaskPlan(100, 2, 1, 0).text();
    String body = new String(PlatformDocuments.jobBody(plan, 2, 1, true), StandardCharsets.UTF_8);
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    boolean accepted = false;
    while (System.nanoTime() < deadlineNs) {
      HttpCall call = accepted ? HttpCall.of("GET", JOB_PATH) : HttpCall.of("POST", JOB_PATH, body);
      Optional<HttpReply> reply = send(client, host, call);
      boolean ok = reply.filter(response -> response.status() == 200).isPresent();
      accepted = accepted || ok;
      if (ok && reply.get().text().contains("succeeded")) {
        return true;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
    }
    return false;
  }

  private static final String JOB_PATH = "/queue/00000000000000aa";

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

  private static InetSocketAddress ephemeralPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
