package org.wheatwall.standin.runner;

import java.util.Map;

/**
 * What a runner began.
 *
 * @param begun requests begun
 * @param rejected requests refused because all slots were taken
 * @param mostSlots most requests at once
 * @param mostConnections most connections at once
 * @param refusedConnections connections refused because there were too many
 * @param requests how often each request identifier began
 * @param keys how often each step key began
 * @param lastBegunMs wall clock of the last begin, milliseconds since 1970
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
