package org.wheatwall.core.job.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The hosts on which the tasks of one gang run.
 *
 * @param hosts host name of each task, by task index
 */
public record Placement(List<String> hosts) {
  /** Copies the list. */
  public Placement {
    hosts = List.copyOf(hosts);
  }

  /** Returns this placement with one task fewer on {@code host}. */
  public Placement withoutTaskOn(String host) {
    List<String> remaining = new ArrayList<>(hosts);
    remaining.remove(host);
    return new Placement(remaining);
  }

  /** Returns this placement with all tasks of host {@code from} moved to host {@code to}. */
  public Placement withHostReplaced(String from, String to) {
    return new Placement(hosts.stream().map(host -> host.equals(from) ? to : host).toList());
  }

  /** Returns the number of tasks on each host. */
  public Map<String, Integer> tasksByHost() {
    Map<String, Integer> counts = new TreeMap<>();
    for (String host : hosts) {
      counts.merge(host, 1, Integer::sum);
    }
    return counts;
  }
}
