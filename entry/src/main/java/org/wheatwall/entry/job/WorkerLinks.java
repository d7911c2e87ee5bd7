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
 * The ways to the workers of a zone, and how often they are used. With more workers heartbeats are
 * rarer and leases longer, so that a decider's messages stay within its budget. Confined to the
 * decision loop.
 */
final class WorkerLinks {
  private static final long MIN_HEARTBEAT_MS = 1000;

  private final int messagesPerSecond;
  private final Map<String, WorkerLink> links = new HashMap<>();
  private long heartbeatMs = MIN_HEARTBEAT_MS;
  private GangTimes times = GangTimes.DEFAULT;

  WorkerLinks(int messagesPerSecond) {
    this.messagesPerSecond = messagesPerSecond;
  }

  /** Takes in the listed workers; those no longer listed go unless {@code busy} names them. */
  void refresh(List<ListedHost> workers, Cluster cluster, Set<String> busy, long nowMs) {
    heartbeatMs = Math.max(MIN_HEARTBEAT_MS, workers.size() * 1000L / messagesPerSecond);
    times = scaledTimes((int) (heartbeatMs / MIN_HEARTBEAT_MS));
    Set<String> listed = new HashSet<>();
    for (ListedHost worker : workers) {
      listed.add(worker.name());
      cluster.add(worker.toWorkerHost());
      WorkerLink known = links.get(worker.name());
      if (known == null || !known.address().equals(worker.address())) {
        WorkerLink link = new WorkerLink(worker.name(), worker.address());
        links.put(worker.name(), link);
        link.spreadFirstHeartbeat(nowMs, Math.floorMod(worker.name().hashCode(), heartbeatMs));
      }
    }
    for (String name : new ArrayList<>(links.keySet())) {
      if (!listed.contains(name)) {
        cluster.remove(name);
        if (!busy.contains(name)) {
          links.remove(name);
        }
      }
    }
  }

  Optional<WorkerLink> get(String host) {
    return Optional.ofNullable(links.get(host));
  }

  Collection<WorkerLink> all() {
    return links.values();
  }

  /** Asks for an exchange with each of {@code hosts} as soon as possible. */
  void want(Collection<String> hosts) {
    hosts.forEach(host -> get(host).ifPresent(WorkerLink::want));
  }

  /** Returns whether every worker has reported. */
  boolean allReported() {
    return links.values().stream().allMatch(link -> link.report().isPresent());
  }

  void clear() {
    links.clear();
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
