package org.wheatwall.standin.runner;

import java.util.Map;

/**
 * Counts of the requests and connections of a runner.
 *
 * @param begun requests that began to run
 * @param rejected requests refused because all slots were in use
 * @param mostSlots largest number of concurrent requests
 * @param mostConnections largest number of concurrent connections
 * @param refusedConnections connections refused because of the connection limit
 * @param requests number of runs of each request identifier
 * @param keys number of runs of each step key
 * @param lastBegunMs wall clock when the last request began to run, Unix milliseconds
 */
public record RunnerLedger(
    long begun,
    long rejected,
    int mostSlots,
    int mostConnections,
    long refusedConnections,
    Map<String, Integer> requests,
    Map<String, Integer> keys,
    long lastBegunMs) {}
