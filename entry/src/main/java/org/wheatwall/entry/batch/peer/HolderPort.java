package org.wheatwall.entry.batch.peer;

import java.util.concurrent.CompletableFuture;

/** Queries other entry hosts about the term. */
public interface HolderPort {
  /**
   * Queries whether a host acts on a term. A host that replies false never acts on that term again.
   * Fails if no response arrives within a few tenths of a second.
   *
   * @param address IP address and port at which the host accepts calls from its peers
   * @param term number of the term
   */
  CompletableFuture<Boolean> actsOn(String address, long term);
}
