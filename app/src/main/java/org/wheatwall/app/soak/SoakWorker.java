package org.wheatwall.app.soak;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.standin.store.StoreStandIn;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.standin.task.TaskWorkerModel;
import org.wheatwall.standin.task.TaskWorkerStandIn;

/** A worker behind a proxy, with its entry in the store; one life of it follows another. */
final class SoakWorker implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(SoakWorker.class);

  /** The accelerators of each worker, while nothing takes some away. */
  static final int ACCELERATORS = 8;

  private static final int GANG_WAIT_MS = 3000;
  private static final int WORKERS_PER_RACK = 4;
  private static final int CLOCK_STEP_MS = 77_777;
  private static final int FORCED_LEASE_MS = 2000;
  private static final int FORCED_RUN = 99;
  // A process that a task has crashed is back after some seconds.
  private static final int RESTART_DELAY_MS = 2500;

  private final int number;
  private final EventLoopGroup group;
  private final StoreStandIn store;
  private final TaskLedger ledger;
  private final FaultProxy link;
  private final int port;
  private int incarnations;
  private int identifiers;
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

  /** Lets its tasks stand still, or go on. */
  synchronized void setStuck(boolean stuck) {
    TaskWorkerModel current = model;
    synchronized (current) {
      current.setStuck(stuck);
    }
  }

  /** Has other room from now on, whatever runs, and says so. */
  synchronized void resize(int accelerators) {
    TaskWorkerModel current = model;
    synchronized (current) {
      current.resize(accelerators, 0, RunClock.monotonicMs());
    }
    publishRecord(accelerators);
  }

  /** Has all its room again. */
  void restoreCapacity() {
    resize(ACCELERATORS);
  }

  private void onTaskCrash() {
    TaskWorkerModel before = model;
    // Opening a port waits for a thread of the group, so it is not done on one of them.
    CompletableFuture.runAsync(
            () -> replaceIfCurrent(before),
            CompletableFuture.delayedExecutor(RESTART_DELAY_MS, TimeUnit.MILLISECONDS))
        .exceptionally(
            failure -> {
              LOG.atError()
                  .addKeyValue("worker", before.id())
                  .setCause(failure)
                  .log("crashed-worker-not-back");
              return null;
            });
  }

  private synchronized void replaceIfCurrent(TaskWorkerModel before) {
    if (model == before && !closed) {
      replace(before);
    }
  }

  /** Ends without a word; another life comes at the same address. */
  synchronized void crash() {
    TaskWorkerModel before = model;
    synchronized (before) {
      before.crash(RunClock.monotonicMs());
    }
    server.close();
    replace(before);
  }

  private void replace(TaskWorkerModel before) {
    startIncarnation(port);
    publishRecord(ACCELERATORS);
    if (!model.id().equals(before.id())) {
      store.put(PlatformDocuments.WORKERS_TOPIC, before.id(), new byte[0]);
    }
  }

  /** Starts a task as no decider would. */
  synchronized void forceStart(TaskName task, TaskPlan plan) {
    long now = RunClock.monotonicMs();
    TaskWorkerModel current = model;
    StartOrder order =
        new StartOrder(current.id(), task, FORCED_RUN, plan.text(), "", Optional.empty());
    synchronized (current) {
      current.start(order, current.highestToken(), current.clockMs(now) + FORCED_LEASE_MS, now);
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    server.close();
    link.close();
  }

  private int startIncarnation(int atPort) {
    // Every second life keeps the identifier of the one before.
    identifiers += incarnations++ % 2 == 0 ? 1 : 0;
    String id = "worker-" + number + "-" + identifiers;
    long clockOffsetMs = (long) CLOCK_STEP_MS * (number + incarnations % 2);
    long bornMs = System.currentTimeMillis();
    model = new TaskWorkerModel(id, bornMs, ACCELERATORS, ledger, clockOffsetMs, GANG_WAIT_MS);
    server = TaskWorkerStandIn.start(group, loopback(atPort), model, this::onTaskCrash);
    return server.port();
  }

  private void publishRecord(int accelerators) {
    String rack = "rack-" + number / WORKERS_PER_RACK;
    byte[] entry = PlatformDocuments.workerEntry(link.port(), model.bornMs(), rack, accelerators);
    store.put(PlatformDocuments.WORKERS_TOPIC, model.id(), entry);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }
}
