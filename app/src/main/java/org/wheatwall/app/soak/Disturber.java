package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.standin.store.StoreFaults;

/**
 * Carries out a plan. If several disturbances of the store or of one link are active at once, the
 * one that began last takes effect until it ends.
 */
final class Disturber implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Disturber.class);
  private static final int THREADS = 4;
  private static final int SLOW_STORE_DELAY_MS = 240;
  private static final int REDUCED_ACCELERATORS = 2;
  private static final int LINK_DELAY_MS = 150;
  private static final double LOSS_PROBABILITY = 0.35;
  private static final int LATE_APPEND_MS = 2500;
  private static final int STORM_VERSIONS = 4;
  private static final int STORM_INTERVAL_MS = 60;

  private final SoakCluster cluster;
  private final RunClock clock;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
  private final List<Disturbance> active = new ArrayList<>();

  Disturber(SoakCluster cluster, RunClock clock) {
    this.cluster = cluster;
    this.clock = clock;
  }

  /** Schedules the begin and the end of each disturbance. */
  void schedule(DisturbancePlan plan) {
    for (Disturbance disturbance : plan.disturbances()) {
      scheduleAt(disturbance.fromMs(), () -> begin(disturbance));
      scheduleAt(disturbance.untilMs(), () -> end(disturbance));
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void scheduleAt(long timeMs, Runnable task) {
    long delayMs = Math.max(0, timeMs - clock.nowMs());
    executor.schedule(() -> runLoggingFailure(task), delayMs, TimeUnit.MILLISECONDS);
  }

  // The executor does not report exceptions of its tasks.
  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      LOG.atError().setCause(failure).log("disturbance-failed");
    }
  }

  private void begin(Disturbance disturbance) {
    synchronized (active) {
      active.add(disturbance);
    }
    SoakHost host = hostOf(disturbance);
    switch (disturbance.kind()) {
      case STORE_HISTORY_DROPPED -> cluster.store().dropHistory();
      case HOST_KILLED -> host.kill();
      case HOST_PAUSED -> host.hold(SoakHost.StopCause.PAUSED);
      case HOST_SUSPENDED -> host.hold(SoakHost.StopCause.SUSPENDED);
      case HOST_STOPPED -> host.stop();
      case HOST_RELOADED -> host.reload();
      case ALL_HOSTS_KILLED -> cluster.hosts().forEach(SoakHost::kill);
      case WORKER_CRASHED -> cluster.worker(disturbance.target()).crash();
      case WORKER_STUCK -> cluster.worker(disturbance.target()).setStuck(true);
      case WORKER_SHRUNK -> cluster.worker(disturbance.target()).resize(REDUCED_ACCELERATORS);
      case CONFIGURATION_CHANGED -> publishStorm();
      default -> adjust(disturbance);
    }
  }

  private void end(Disturbance disturbance) {
    synchronized (active) {
      active.remove(disturbance);
    }
    SoakHost host = hostOf(disturbance);
    switch (disturbance.kind()) {
      case HOST_KILLED -> host.start();
      case HOST_PAUSED -> host.release(SoakHost.StopCause.PAUSED);
      case HOST_SUSPENDED -> host.release(SoakHost.StopCause.SUSPENDED);
      case HOST_STOPPED -> host.startAfterStop();
      case ALL_HOSTS_KILLED -> cluster.hosts().forEach(SoakHost::start);
      case WORKER_STUCK -> cluster.worker(disturbance.target()).setStuck(false);
      case WORKER_SHRUNK -> cluster.worker(disturbance.target()).restoreCapacity();
      case STORE_HISTORY_DROPPED, HOST_RELOADED, WORKER_CRASHED, CONFIGURATION_CHANGED -> {
        // These are instantaneous.
      }
      default -> adjust(disturbance);
    }
  }

  private SoakHost hostOf(Disturbance disturbance) {
    return cluster.host(disturbance.target() % cluster.hosts().size());
  }

  private void publishStorm() {
    for (int i = 0; i < STORM_VERSIONS; i++) {
      cluster.configurations().publish();
      Pause.ms(STORM_INTERVAL_MS);
    }
  }

  /** Sets the faults of the store or of a link according to the active disturbances. */
  private void adjust(Disturbance changed) {
    switch (changed.kind().scope()) {
      case STORE -> cluster.store().setFaults(storeFaults());
      case HOST -> adjustLink(changed, cluster.host(changed.target()).storeLink());
      case WORKER -> adjustLink(changed, cluster.worker(changed.target()).link());
      default ->
          throw new IllegalStateException(changed.kind() + " affects neither the store nor a link");
    }
  }

  private StoreFaults storeFaults() {
    StoreFaults faults = StoreFaults.NONE;
    synchronized (active) {
      for (Disturbance disturbance : active) {
        faults =
            switch (disturbance.kind()) {
              case STORE_BUSY -> new StoreFaults(StoreFaults.Mode.BUSY, 0, 0, 0);
              case STORE_SILENT -> new StoreFaults(StoreFaults.Mode.SILENT, 0, 0, 0);
              case STORE_SLOW -> new StoreFaults(StoreFaults.Mode.UP, SLOW_STORE_DELAY_MS, 0, 0);
              case STORE_LOSES_ANSWERS ->
                  new StoreFaults(StoreFaults.Mode.UP, 0, LOSS_PROBABILITY, LATE_APPEND_MS);
              default -> faults;
            };
      }
    }
    return faults;
  }

  private void adjustLink(Disturbance changed, FaultProxy link) {
    FaultProxy.Mode mode = FaultProxy.Mode.PASS;
    long delayMs = 0;
    synchronized (active) {
      for (Disturbance disturbance : active) {
        boolean sameLink =
            disturbance.kind().scope() == changed.kind().scope()
                && disturbance.target() == changed.target();
        if (sameLink) {
          mode = modeOf(disturbance.kind()).orElse(mode);
          delayMs = disturbance.kind() == DisturbanceKind.LINK_DELAYED ? LINK_DELAY_MS : delayMs;
        }
      }
    }
    link.setDelayMs(delayMs);
    link.setMode(mode);
  }

  private static Optional<FaultProxy.Mode> modeOf(DisturbanceKind kind) {
    return Optional.ofNullable(
        switch (kind) {
          case LINK_RESET, WORKER_RESET -> FaultProxy.Mode.RESET;
          case LINK_SILENT, WORKER_SILENT -> FaultProxy.Mode.HALF_OPEN;
          case LINK_ONE_WAY_OUT -> FaultProxy.Mode.DROP_TO_SERVER;
          case LINK_ONE_WAY_IN, WORKER_ANSWERS_LOST -> FaultProxy.Mode.DROP_TO_CLIENT;
          default -> null;
        });
  }
}
