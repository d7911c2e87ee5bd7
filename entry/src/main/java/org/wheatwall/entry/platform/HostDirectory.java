package org.wheatwall.entry.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.wire.platform.HostList;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.ListedHost.Role;

/** The platform's list of hosts as last read. While the list is down, the last one stays. */
public final class HostDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(HostDirectory.class);

  private final HostListService service;
  private final ScheduledExecutorService stateThread;
  private final int pollMs;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile List<ListedHost> hosts = List.of();
  private boolean reachable = true;

  /** Creates a directory that reads the list every {@code pollMs} milliseconds. */
  public HostDirectory(HostListService service, ScheduledExecutorService stateThread, int pollMs) {
    this.service = service;
    this.stateThread = stateThread;
    this.pollMs = pollMs;
  }

  /** Adds a listener that is told, on the state thread, when the list changed. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Starts to read the list. */
  public void start() {
    stateThread.execute(this::poll);
  }

  /** Returns all hosts. */
  public List<ListedHost> hosts() {
    return hosts;
  }

  /** Returns the entry hosts of every zone. */
  public List<ListedHost> entryHosts() {
    return ofRole(Role.ENTRY);
  }

  /** Returns the workers of every zone. */
  public List<ListedHost> workers() {
    return ofRole(Role.WORKER);
  }

  /** Returns the runners of every zone. */
  public List<ListedHost> runners() {
    return ofRole(Role.RUNNER);
  }

  private List<ListedHost> ofRole(Role role) {
    List<ListedHost> found = new ArrayList<>();
    for (ListedHost host : hosts) {
      if (host.role() == role) {
        found.add(host);
      }
    }
    return found;
  }

  private void poll() {
    service
        .fetch()
        .whenCompleteAsync(
            (list, failure) -> {
              if (failure == null) {
                take(list);
              }
              noteReachable(failure == null);
              long jitterMs = ThreadLocalRandom.current().nextLong(pollMs / 4 + 1);
              stateThread.schedule(this::poll, pollMs + jitterMs, TimeUnit.MILLISECONDS);
            },
            stateThread);
  }

  private void take(HostList list) {
    if (!list.hosts().equals(hosts)) {
      hosts = list.hosts();
      listeners.forEach(Runnable::run);
    }
  }

  private void noteReachable(boolean now) {
    if (now != reachable) {
      reachable = now;
      LOG.info("event=host-list reachable={}", now);
    }
  }
}
