package org.wheatwall.entry.request;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for a slot.
 *
 * @param workspace workspace of the request
 * @param weight weight of that workspace in the fair queue
 * @param avoidedRunners runners that have failed this request before
 * @param latestSendMs monotonic time after which the request is too late to be answered in time
 * @param local whether the request waits on this entry host, not on another that requests a slot
 */
record SlotWaiter(
    String workspace,
    int weight,
    Set<String> avoidedRunners,
    long latestSendMs,
    boolean local,
    CompletableFuture<Slot> slot) {}
