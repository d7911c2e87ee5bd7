package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.policy.QueuedJob;

/**
 * A waiting job with its position by the policy that applies to it.
 *
 * @param rank rank by the policy; lower ranks go first
 * @param priorityClass priority class by the policy; included in the rank
 */
record RankedJob(QueuedJob job, double rank, int priorityClass) {}
