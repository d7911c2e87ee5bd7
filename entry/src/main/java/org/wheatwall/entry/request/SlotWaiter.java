package org.wheatwall.entry.request;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for a slot.
 *
 * @param avoid runners that have failed this request before
 */
record SlotWaiter(Set<String> avoid, CompletableFuture<Slot> slot) {}
