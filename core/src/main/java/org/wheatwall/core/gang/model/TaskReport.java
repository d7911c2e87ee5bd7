package org.wheatwall.core.gang.model;

import java.util.List;

/**
 * A worker's account of one attempt's part on it.
 *
 * @param attemptId attempt
 * @param jobName job of the attempt
 * @param hosts host of every task of the whole gang, by task index
 * @param phase state of the part
 * @param usagePercent what the part uses, percent of what it declared; lags, 0 while unknown
 * @param throttled whether the part is held to what it declared
 */
public record TaskReport(
    String attemptId,
    String jobName,
    List<String> hosts,
    TaskPhase phase,
    int usagePercent,
    boolean throttled) {
  /** Copies the list. */
  public TaskReport {
    hosts = List.copyOf(hosts);
  }
}
