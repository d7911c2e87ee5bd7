package org.wheatwall.entry.platform;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.wire.platform.HostList;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.ListedHost.Role;

/** Holds the platform's list of hosts as last read, also while the list is unreachable. */
public final class HostDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(HostDirectory.class);

  private final HostListService service;
  private final ScheduledExecutorService stateThread;
  private final int pollMs;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile HostIndex index = HostIndex.of(List.of());
  private boolean reachable = true;

  /** One version of the list, indexed on arrival since every request searches it. */
  private record HostIndex(
      List<ListedHost> hosts, Map<Role, List<ListedHost>> byRole, Set<String> services) {
    private static HostIndex of(List<ListedHost> hosts) {
      Map<Role, List<ListedHost>> byRole = new EnumMap<>(Role.class);
      for (Role role : Role.values()) {
        byRole.put(role, hosts.stream().filter(host -> host.role() == role).toList());
      }
      Set<String> services = new HashSet<>();
      byRole.get(Role.RUNNER).forEach(runner -> services.add(runner.service()));
      return new HostIndex(hosts, byRole, Set.copyOf(services));
    }
  }

  /** Creates a directory that polls the list every {@code pollMs} milliseconds. */
  public HostDirectory(HostListService service, ScheduledExecutorService stateThread, int pollMs) {
    this.service = service;
    this.stateThread = stateThread;
    this.pollMs = pollMs;
  }

  /** Adds a listener that runs on the state thread when the list has changed. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Starts polling the list. */
  public void start() {
    stateThread.execute(this::poll);
  }

  /** Returns all hosts. */
  public List<ListedHost> hosts() {
    return index.hosts();
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

  /** Returns whether a runner of the service is listed in any zone. */
  public boolean hasService(String service) {
    return index.services().contains(service);
  }

  private List<ListedHost> ofRole(Role role) {
    return index.byRole().get(role);
  }

  private void poll() {
    service
        .fetch()
        .whenCompleteAsync(
            (list, failure) -> {
              if (failure == null) {
                update(list);
              }
              setReachable(failure == null);
              long jitterMs = ThreadLocalRandom.current().nextLong(pollMs / 4 + 1);
              stateThread.schedule(this::poll, pollMs + jitterMs, TimeUnit.MILLISECONDS);
            },
            stateThread);
  }

  private void update(HostList list) {
    if (!list.hosts().equals(index.hosts())) {
      index = HostIndex.of(list.hosts());
      listeners.forEach(Runnable::run);
    }
  }

  private void setReachable(boolean isReachable) {
    if (isReachable != reachable) {
      reachable = isReachable;
      LOG.info("event=host-list reachable={}", isReachable);
    }
  }
}
