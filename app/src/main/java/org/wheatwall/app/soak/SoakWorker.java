package org.wheatwall.app.soak;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.standin.store.StoreStandIn;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.standin.task.TaskWorkerModel;
import org.wheatwall.standin.task.TaskWorkerStandIn;

/**
 * A worker behind a proxy, with its record in the store. After a crash, a new incarnation replaces
 * the previous one.
 */
final class SoakWorker implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(SoakWorker.class);

  /** The number of accelerators of each worker, unless it is resized. */
  static final int ACCELERATORS = 8;

  private static final int GANG_WAIT_MS = 3000;
  private static final int WORKERS_PER_RACK = 4;
  private static final int CLOCK_STEP_MS = 77_777;
  private static final int FORCED_LEASE_MS = 2000;
  private static final int FORCED_RUN = 99;
  // The time until a process that a task has crashed is restarted.
  private static final int RESTART_DELAY_MS = 2500;

  private final int number;
  private final EventLoopGroup group;
  private final StoreStandIn store;
  private final TaskLedger ledger;
  private final FaultProxy link;
  private final int port;
  private int incarnations;
  private int identifierCount;
  private boolean closed;
  private TaskWorkerModel model;
  private TaskWorkerStandIn server;

  SoakWorker(int number, EventLoopGroup group, StoreStandIn store, TaskLedger ledger) {
    this.number = number;
    this.group = group;
    this.store = store;
    this.ledger = ledger;
    this.port = startIncarnation(0);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    this.link = FaultProxy.start(group, any, loopback(port));
    publishRecord(ACCELERATORS);
  }

  /** Returns the proxy between all hosts and this worker. */
  FaultProxy link() {
    return link;
  }

  /** Sets whether its tasks make no progress. */
  synchronized void setStuck(boolean stuck) {
    TaskWorkerModel current = model;
    synchronized (current) {
      current.setStuck(stuck);
    }
  }

  /** Changes its capacity regardless of running tasks, and publishes the change. */
  synchronized void resize(int accelerators) {
    TaskWorkerModel current = model;
    synchronized (current) {
      current.resize(accelerators, 0, RunClock.monotonicMs());
    }
    publishRecord(accelerators);
  }

  /** Restores its full capacity. */
  void restoreCapacity() {
    resize(ACCELERATORS);
  }

  private void onTaskCrash() {
    TaskWorkerModel previous = model;
    // Opening a port blocks on a thread of the event loop group, so it must not run on one of them.
    CompletableFuture.runAsync(
            () -> replaceIfCurrent(previous),
            CompletableFuture.delayedExecutor(RESTART_DELAY_MS, TimeUnit.MILLISECONDS))
        .exceptionally(
            failure -> {
              LOG.atError()
                  .addKeyValue("worker", previous.id())
                  .setCause(failure)
                  .log("crashed-worker-not-back");
              return null;
            });
  }

  private synchronized void replaceIfCurrent(TaskWorkerModel previous) {
    if (model == previous && !closed) {
      replace(previous);
    }
  }

  /** Crashes the worker without notice; a new incarnation starts at the same address. */
  synchronized void crash() {
    TaskWorkerModel previous = model;
    synchronized (previous) {
      previous.crash(RunClock.monotonicMs());
    }
    server.close();
    replace(previous);
  }

  private void replace(TaskWorkerModel previous) {
    startIncarnation(port);
    publishRecord(ACCELERATORS);
    if (!model.id().equals(previous.id())) {
      store.put(PlatformDocuments.WORKERS_TOPIC, previous.id(), new byte[0]);
    }
  }

  /** Starts a task directly, without a decider. */
  synchronized void forceStart(TaskName task, TaskPlan plan) {
    long now = RunClock.monotonicMs();
    TaskWorkerModel current = model;
    StartCommand command =
        new StartCommand(current.id(), task, FORCED_RUN, plan.text(), "", Optional.empty());
    synchronized (current) {
      current.start(command, current.highestToken(), current.clockMs(now) + FORCED_LEASE_MS, now);
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    server.close();
    link.close();
  }

  private int startIncarnation(int requestedPort) {
    // Every second incarnation keeps the identifier of the previous one.
    identifierCount += incarnations++ % 2 == 0 ? 1 : 0;
    String id = "worker-" + number + "-" + identifierCount;
    long clockOffsetMs = (long) CLOCK_STEP_MS * (number + incarnations % 2);
    long startedAtMs = System.currentTimeMillis();
    model = new TaskWorkerModel(id, startedAtMs, ACCELERATORS, ledger, clockOffsetMs, GANG_WAIT_MS);
    server = TaskWorkerStandIn.start(group, loopback(requestedPort), model, this::onTaskCrash);
    return server.port();
  }

  private void publishRecord(int accelerators) {
    String rack = "rack-" + number / WORKERS_PER_RACK;
    byte[] workerRecord =
        PlatformDocuments.workerRecord(link.port(), model.startedAtMs(), rack, accelerators);
    store.put(PlatformDocuments.WORKERS_TOPIC, model.id(), workerRecord);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }
}
