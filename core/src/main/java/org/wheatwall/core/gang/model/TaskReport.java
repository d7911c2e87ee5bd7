package org.wheatwall.core.gang.model;

import java.util.List;

/**
 * A worker's report on its part of one attempt.
 *
 * @param attemptId identifier of the attempt
 * @param jobName name of the attempt's job
 * @param hosts host of every task of the whole gang, by task index
 * @param phase phase of the part
 * @param usagePercent resource usage of the part, percent of the declared amount; delayed, 0 while
 *     unknown
 * @param throttled whether the part is limited to the declared amount
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
