package org.wheatwall.entry.request;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for a slot.
 *
 * @param workspace whose request it is
 * @param weight share of that workspace
 * @param avoidedRunners runners that have failed this request before
 * @param latestSendMs monotonic time after which an answer would come too late
 * @param local whether the request is on this entry host, and not on one that asks for a slot
 */
record SlotWaiter(
    String workspace,
    int weight,
    Set<String> avoidedRunners,
    long latestSendMs,
    boolean local,
    CompletableFuture<Slot> slot) {}
