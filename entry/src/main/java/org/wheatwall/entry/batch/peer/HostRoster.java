package org.wheatwall.entry.batch.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.LogContent;

/**
 * The entry hosts as the job log names them. Each writes down where it takes calls of others, again
 * from time to time; the decider drops those that have not for long.
 *
 * <p>The list of peers may be read on any thread; everything else belongs to the decision loop.
 */
public final class HostRoster {
  // A record a host and ten minutes is nothing to the log, and hosts replaced within half an hour
  // are few among those that live.
  private static final int RENEW_MS = 600_000;
  private static final int FORGET_MS = 3 * RENEW_MS;
  // Claims of the term need a quiet log; in the first seconds of a start they go first.
  private static final int FIRST_MS = 2000;

  private final String own;
  private final LogContent.Host content;
  private final long startedMs;
  private final Map<String, Long> seenMs = new HashMap<>();
  private volatile List<LogContent.Host> peers = List.of();

  /**
   * Creates the roster of one host.
   *
   * @param own name of this host
   * @param content what it writes down of itself
   */
  public HostRoster(String own, LogContent.Host content, long nowMs) {
    this.own = own;
    this.content = content;
    this.startedMs = nowMs;
  }

  /** Notes that the record of a host was read. */
  public void seen(String name, long nowMs) {
    seenMs.put(name, nowMs);
  }

  /** Takes in the hosts that the log names now. */
  public void update(Map<String, LogContent.Host> hosts) {
    seenMs.keySet().retainAll(hosts.keySet());
    List<LogContent.Host> sameZone = new ArrayList<>();
    List<LogContent.Host> others = new ArrayList<>();
    hosts.forEach(
        (name, host) -> {
          if (!name.equals(own) && !host.address().equals(content.address())) {
            (host.zone().equals(content.zone()) ? sameZone : others).add(host);
          }
        });
    sameZone.addAll(others);
    peers = List.copyOf(sameZone);
  }

  /** Returns the other hosts, those of the same availability zone first. */
  public List<LogContent.Host> peers() {
    return peers;
  }

  /** Returns whether this host has to write itself down, given what the log names. */
  public boolean mustAnnounce(Map<String, LogContent.Host> hosts, long nowMs) {
    if (nowMs - startedMs < FIRST_MS) {
      return false;
    }
    boolean known = content.equals(hosts.get(own));
    return !known || nowMs - seenMs.getOrDefault(own, nowMs) >= RENEW_MS;
  }

  /** Returns what this host writes down of itself. */
  public LogContent.Host content() {
    return content;
  }

  /** Returns the hosts that have not been heard of for so long that they are gone. */
  public List<String> gone(long nowMs) {
    List<String> names = new ArrayList<>();
    seenMs.forEach(
        (name, atMs) -> {
          if (nowMs - atMs >= FORGET_MS) {
            names.add(name);
          }
        });
    return names;
  }
}
