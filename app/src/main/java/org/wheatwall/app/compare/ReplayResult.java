package org.wheatwall.app.compare;

/**
 * The result of one policy on one stream.
 *
 * @param meanCompletionSeconds mean time from submission to completion
 * @param p50CompletionSeconds median completion time
 * @param p99CompletionSeconds 99th percentile of the completion time
 * @param meanSlowdown mean of completion time over run time, run times below 10 s counted as 10 s
 * @param fragmentation time-weighted mean share of free accelerators on partly used hosts
 * @param longestLargeWaitSeconds longest wait of a gang that needs a single rack
 * @param meanLargeWaitSeconds mean wait of such gangs
 * @param finished jobs that completed
 * @param neverFits jobs that were reported as never fitting
 * @param guaranteeBreaches number of passes after which some guarantee could not be reclaimed
 * @param p99DecisionMicros 99th percentile of the duration of a scheduling pass, microseconds
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
