package org.wheatwall.standin.worker;

/**
 * One line of a worker's ledger.
 *
 * @param gangHosts workers on which the whole gang runs
 * @param event {@code start} or {@code stop}
 * @param atMs wall clock, milliseconds since 1970
 * @param reason why
 */
public record TaskEvent(
    String host,
    String attemptId,
    String jobName,
    int gangHosts,
    String event,
    long atMs,
    String reason) {}
