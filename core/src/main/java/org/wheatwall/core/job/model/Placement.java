package org.wheatwall.core.job.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Where the tasks of one gang go.
 *
 * @param hosts host name of each task, by task index
 */
public record Placement(List<String> hosts) {
  /** Copies the list. */
  public Placement {
    hosts = List.copyOf(hosts);
  }

  /** Returns the places that are left without one task on {@code host}. */
  public Placement withoutTaskOn(String host) {
    List<String> left = new ArrayList<>(hosts);
    left.remove(host);
    return new Placement(left);
  }

  /** Returns the places with {@code to} in place of {@code from}. */
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
