package org.wheatwall.core.job.decision;

import java.util.Set;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * The hosts on which the first blocked job is expected to start, and when (EASY backfill, Lifka
 * 1995). Other jobs may use them if they are expected to end before that time, or need no more than
 * the accelerators that the blocked job leaves free.
 *
 * @param hosts hosts among which the blocked job is expected to start
 * @param startMs when enough of their accelerators are expected to be free, milliseconds
 * @param spare accelerators expected to be free at that time beyond those that the blocked job
 *     needs
 */
record BackfillWindow(Set<String> hosts, double startMs, int spare) {
  private static final int MS_PER_SECOND = 1000;

  /** Copies the hosts. */
  BackfillWindow {
    hosts = Set.copyOf(hosts);
  }

  /** Returns whether starting {@code job} now is expected to delay the blocked job. */
  boolean isDelayedBy(Job job, Placement placement, double expectedSeconds, long nowMs) {
    return overlaps(expectedSeconds, nowMs) && acceleratorsInWindow(job, placement) > spare;
  }

  /** Returns the window that remains once {@code job} has started at {@code placement}. */
  BackfillWindow afterStarting(Job job, Placement placement, double expectedSeconds, long nowMs) {
    int used = overlaps(expectedSeconds, nowMs) ? acceleratorsInWindow(job, placement) : 0;
    return new BackfillWindow(hosts, startMs, spare - used);
  }

  private boolean overlaps(double expectedSeconds, long nowMs) {
    return nowMs + expectedSeconds * MS_PER_SECOND > startMs;
  }

  private int acceleratorsInWindow(Job job, Placement placement) {
    int tasks = (int) placement.hosts().stream().filter(hosts::contains).count();
    return tasks * job.taskAmount().accelerators();
  }
}
