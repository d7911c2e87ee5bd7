package org.wheatwall.core.job.decision;

import java.util.Set;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/**
 * The hosts on which the first waiting job is expected to start, and when (EASY backfill, Lifka
 * 1995). Other work may use them if it is expected to end before, or takes no more than will be
 * left beside the job.
 *
 * @param hosts hosts among which the job is expected to start
 * @param startMs when enough of their accelerators are expected to be free
 * @param spare how many are expected to be free then beyond what the job needs
 */
record BackfillWindow(Set<String> hosts, double startMs, int spare) {
  private static final int MS_PER_SECOND = 1000;

  /** Copies the hosts. */
  BackfillWindow {
    hosts = Set.copyOf(hosts);
  }

  /** Returns whether starting {@code job} at {@code place} now is expected to delay the first. */
  boolean isDelayedBy(Job job, Placement place, double expectedSeconds, long nowMs) {
    return overlaps(expectedSeconds, nowMs) && acceleratorsInWindow(job, place) > spare;
  }

  /** Returns the window that is left once {@code job} has started at {@code place}. */
  BackfillWindow afterStarting(Job job, Placement place, double expectedSeconds, long nowMs) {
    int taken = overlaps(expectedSeconds, nowMs) ? acceleratorsInWindow(job, place) : 0;
    return new BackfillWindow(hosts, startMs, spare - taken);
  }

  private boolean overlaps(double expectedSeconds, long nowMs) {
    return nowMs + expectedSeconds * MS_PER_SECOND > startMs;
  }

  private int acceleratorsInWindow(Job job, Placement place) {
    int tasks = (int) place.hosts().stream().filter(hosts::contains).count();
    return tasks * job.taskAmount().accelerators();
  }
}
