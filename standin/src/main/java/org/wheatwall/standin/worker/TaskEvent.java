package org.wheatwall.standin.worker;

/**
 * An entry in a worker's ledger: a task started or stopped.
 *
 * @param gangHosts number of hosts on which the whole gang runs
 * @param event {@code start} or {@code stop}
 * @param atMs wall clock, Unix milliseconds
 * @param reason why the task stopped; empty for a start
 */
public record TaskEvent(
    String host,
    String attemptId,
    String jobName,
    int gangHosts,
    String event,
    long atMs,
    String reason) {}
