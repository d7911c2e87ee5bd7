package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.TreeMap;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.Objective;

/**
 * Decides whether a new job could still end before its result is of no more use, and if not, when
 * its submitter should return. Answers a lasting overload by work of higher priorities, under which
 * jobs of lower ones wait in vain. Follows admission by expected queueing delay (as in Breakwater,
 * Cho et al. 2020); here the delay is not measured at the queue but derived from the work that
 * waits, which every entry host knows.
 *
 * <p>Work of the same priority is not counted, because late jobs may go behind new ones. The
 * expected wait is divided by {@value #WAIT_MARGIN}: estimates of submitters are off by half, small
 * jobs start beside gangs that wait for a rack, and to reject a job that would have been served is
 * a worse loss than to let one wait in vain. Rejected submitters are asked to return in the order
 * of their attempts, at the rate at which the capacity serves their work.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class AdmissionRule {
  /** Divisor of the expected wait. */
  static final double WAIT_MARGIN = 2;

  private static final int MS_PER_SECOND = 1000;

  private final AdmissionSettings settings;
  private final BacklogTracker backlog;
  private final TreeMap<Integer, Long> lastReturnMsByPriority = new TreeMap<>();

  /** Creates the rule. */
  public AdmissionRule(AdmissionSettings settings, BacklogTracker backlog) {
    this.settings = settings;
    this.backlog = backlog;
  }

  /**
   * A rejection.
   *
   * @param expectedWaitMs how long the job would wait for capacity, milliseconds
   * @param usefulMs how long from now its result would be of use, milliseconds
   * @param retryAfterSeconds when its submitter should return
   */
  public record Rejection(long expectedWaitMs, long usefulMs, int retryAfterSeconds) {}

  /**
   * Returns why and for how long a new job is rejected; empty if it is accepted.
   *
   * @param accelerators usable accelerators of the service
   * @param hosts number of entry hosts that reject jobs independently
   * @param nowMs milliseconds of any clock that does not go back
   */
  public Optional<Rejection> check(
      BatchJob job, Objective objective, int accelerators, int hosts, long nowMs) {
    long work = BacklogTracker.workOf(job);
    boolean judged = BacklogTracker.isCounted(job) && !objective.equals(Objective.NONE);
    if (!judged || work == 0 || accelerators <= 0) {
      return Optional.empty();
    }
    long allowedMs = objective.allowedMs(job.declaredCriticalPathMs());
    long usefulMs = Math.round(settings.uselessAfterObjectives() * allowedMs);
    long slackMs = usefulMs - job.declaredCriticalPathMs();
    long waitMs = backlog.workAbove(job.priority()) / accelerators;
    if (waitMs / WAIT_MARGIN <= slackMs) {
      return Optional.empty();
    }
    long returnMs = returnMs(job.priority(), waitMs - slackMs, work, accelerators, hosts, nowMs);
    return Optional.of(new Rejection(waitMs, usefulMs, retryAfterSeconds(returnMs - nowMs)));
  }

  // A later attempt returns later, by the time that the work of the earlier one takes.
  private long returnMs(
      int priority, long excessMs, long work, int accelerators, int hosts, long nowMs) {
    long spacingMs = work * Math.max(1, hosts) / accelerators;
    long lastMs = lastReturnMsByPriority.getOrDefault(priority, Long.MIN_VALUE / 2);
    long latestMs = nowMs + (long) settings.maxRetryAfterSeconds() * MS_PER_SECOND;
    long returnMs = Math.min(latestMs, Math.max(nowMs + excessMs, lastMs + spacingMs));
    lastReturnMsByPriority.put(priority, returnMs);
    return returnMs;
  }

  private int retryAfterSeconds(long delayMs) {
    long seconds = (delayMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
    return (int) Math.max(1, Math.min(settings.maxRetryAfterSeconds(), seconds));
  }
}
