package org.wheatwall.entry.batch.peer;

import java.util.concurrent.CompletableFuture;

/** Asks other entry hosts about the term. */
public interface HolderPort {
  /**
   * Asks a host whether it acts on a term. A host that says no never acts on it again. Fails if no
   * answer comes within some tenths of a second.
   *
   * @param address IP number and port at which the host answers its peers
   * @param term number of the term
   */
  CompletableFuture<Boolean> actsOn(String address, long term);
}
