package org.wheatwall.entry.request;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for a slot.
 *
 * @param avoid runners that have failed this request before
 * @param deadlineMs monotonic time after which the slot is of no use
 * @param sinceMs when it began to wait
 */
record SlotWaiter(Set<String> avoid, long deadlineMs, long sinceMs, CompletableFuture<Slot> slot) {}
