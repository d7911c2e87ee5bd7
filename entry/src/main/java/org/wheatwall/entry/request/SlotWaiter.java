package org.wheatwall.entry.request;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for a slot.
 *
 * @param avoid runners that have failed this request before
 * @param latestStartMs monotonic time after which an answer would come too late
 */
record SlotWaiter(Set<String> avoid, long latestStartMs, CompletableFuture<Slot> slot) {}
