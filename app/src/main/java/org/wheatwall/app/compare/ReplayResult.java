package org.wheatwall.app.compare;

/**
 * What one policy made of one stream.
 *
 * @param meanCompletionSeconds mean time from submission to end
 * @param p50CompletionSeconds median of the same
 * @param p99CompletionSeconds 99th percentile of the same
 * @param meanSlowdown mean of completion time over run time, run times below 10 s counted as 10 s
 * @param fragmentation mean over time of the share of free accelerators off wholly free hosts
 * @param longestLargeWaitSeconds longest wait of a gang that needs one rack
 * @param meanLargeWaitSeconds mean wait of such gangs
 * @param finished jobs that ended by themselves
 * @param neverFits jobs that were told that they can never run
 * @param guaranteeBreaches moments at which some guarantee could not be reclaimed
 * @param p99DecisionMicros 99th percentile of the time of one pass over the queue, microseconds
 */
record ReplayResult(
    double meanCompletionSeconds,
    double p50CompletionSeconds,
    double p99CompletionSeconds,
    double meanSlowdown,
    double fragmentation,
    double longestLargeWaitSeconds,
    double meanLargeWaitSeconds,
    int finished,
    int neverFits,
    int guaranteeBreaches,
    double p99DecisionMicros) {}
