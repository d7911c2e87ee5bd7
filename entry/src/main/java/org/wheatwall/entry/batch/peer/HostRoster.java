package org.wheatwall.entry.batch.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.LogContent;

/**
 * The entry hosts that are registered in the job log. Each host appends the address at which it
 * accepts calls of the others and renews this record periodically; the decider drops hosts whose
 * record has not been renewed for long.
 *
 * <p>The list of peers may be read on any thread; everything else belongs to the decision loop.
 */
public final class HostRoster {
  // One record per host every ten minutes is a negligible load for the log, and the hosts replaced
  // within half an hour are few compared with the running ones.
  private static final int RENEW_MS = 600_000;
  private static final int EXPIRY_MS = 3 * RENEW_MS;
  // Claims of the term need a log without other appends, so they go first in the first seconds
  // after a start.
  private static final int STARTUP_DELAY_MS = 2000;

  private final String ownName;
  private final LogContent.Host ownRecord;
  private final long startedMs;
  private final Map<String, Long> seenMs = new HashMap<>();
  private volatile List<LogContent.Host> peers = List.of();

  /**
   * Creates the roster of one host.
   *
   * @param ownName name of this host
   * @param ownRecord record that this host appends about itself
   */
  public HostRoster(String ownName, LogContent.Host ownRecord, long nowMs) {
    this.ownName = ownName;
    this.ownRecord = ownRecord;
    this.startedMs = nowMs;
  }

  /** Records that a host's record was read. */
  public void recordSeen(String name, long nowMs) {
    seenMs.put(name, nowMs);
  }

  /** Updates the peers from the hosts that are registered in the log now. */
  public void update(Map<String, LogContent.Host> hosts) {
    seenMs.keySet().retainAll(hosts.keySet());
    List<LogContent.Host> sameZone = new ArrayList<>();
    List<LogContent.Host> others = new ArrayList<>();
    hosts.forEach(
        (name, host) -> {
          if (!name.equals(ownName) && !host.address().equals(ownRecord.address())) {
            (host.zone().equals(ownRecord.zone()) ? sameZone : others).add(host);
          }
        });
    sameZone.addAll(others);
    peers = List.copyOf(sameZone);
  }

  /** Returns the other hosts, those of the same availability zone first. */
  public List<LogContent.Host> peers() {
    return peers;
  }

  /** Returns whether this host has to append its record, given the hosts registered in the log. */
  public boolean mustAnnounce(Map<String, LogContent.Host> hosts, long nowMs) {
    if (nowMs - startedMs < STARTUP_DELAY_MS) {
      return false;
    }
    boolean registered = ownRecord.equals(hosts.get(ownName));
    return !registered || nowMs - seenMs.getOrDefault(ownName, nowMs) >= RENEW_MS;
  }

  /** Returns the record that this host appends about itself. */
  public LogContent.Host ownRecord() {
    return ownRecord;
  }

  /**
   * Returns the hosts whose record has not been renewed for so long that they are considered gone.
   */
  public List<String> expiredHosts(long nowMs) {
    List<String> names = new ArrayList<>();
    seenMs.forEach(
        (name, lastSeenMs) -> {
          if (nowMs - lastSeenMs >= EXPIRY_MS) {
            names.add(name);
          }
        });
    return names;
  }
}
