package org.wheatwall.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.job.decision.Cluster;
import org.wheatwall.wire.platform.ListedHost;

/**
 * The connections to the workers of a zone and their heartbeat interval. The interval and the
 * leases grow with the number of workers, so that a decider's messages stay within its rate limit.
 * Confined to the decision loop.
 */
final class WorkerConnections {
  private static final long MIN_HEARTBEAT_MS = 1000;

  private final int messagesPerSecond;
  private final Map<String, WorkerConnection> connections = new HashMap<>();
  private long heartbeatMs = MIN_HEARTBEAT_MS;
  private GangTimes times = GangTimes.DEFAULT;

  WorkerConnections(int messagesPerSecond) {
    this.messagesPerSecond = messagesPerSecond;
  }

  /** Applies the list of workers; removes unlisted workers unless {@code busy} names them. */
  void refresh(List<ListedHost> workers, Cluster cluster, Set<String> busy, long nowMs) {
    heartbeatMs = Math.max(MIN_HEARTBEAT_MS, workers.size() * 1000L / messagesPerSecond);
    times = scaledTimes((int) (heartbeatMs / MIN_HEARTBEAT_MS));
    Set<String> listed = new HashSet<>();
    for (ListedHost worker : workers) {
      listed.add(worker.name());
      cluster.add(worker.toWorkerHost());
      WorkerConnection current = connections.get(worker.name());
      if (current == null || !current.address().equals(worker.address())) {
        WorkerConnection connection = new WorkerConnection(worker.name(), worker.address());
        connections.put(worker.name(), connection);
        connection.delayFirstHeartbeat(nowMs, Math.floorMod(worker.name().hashCode(), heartbeatMs));
      }
    }
    for (String name : new ArrayList<>(connections.keySet())) {
      if (!listed.contains(name)) {
        cluster.remove(name);
        if (!busy.contains(name)) {
          connections.remove(name);
        }
      }
    }
  }

  Optional<WorkerConnection> get(String host) {
    return Optional.ofNullable(connections.get(host));
  }

  Collection<WorkerConnection> all() {
    return connections.values();
  }

  /** Requests an exchange with each of {@code hosts} as soon as possible. */
  void requestExchanges(Collection<String> hosts) {
    hosts.forEach(host -> get(host).ifPresent(WorkerConnection::requestExchange));
  }

  /** Returns whether every worker has reported. */
  boolean haveAllReported() {
    return connections.values().stream().allMatch(connection -> connection.report().isPresent());
  }

  void clear() {
    connections.clear();
  }

  long heartbeatMs() {
    return heartbeatMs;
  }

  GangTimes times() {
    return times;
  }

  private static GangTimes scaledTimes(int factor) {
    GangTimes base = GangTimes.DEFAULT;
    return new GangTimes(
        base.reserveMs(),
        base.startMs(),
        base.leaseMs() * factor,
        base.memberMs() * factor,
        base.checkpointMs(),
        base.commandMs(),
        base.driftPercent());
  }
}
