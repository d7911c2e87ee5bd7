package org.wheatwall.entry.batch.peer;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks other entry hosts which workers they reach. */
public interface ReachabilityPort {
  /**
   * Asks a host how many of some workers it reaches. Fails if the host does not respond within
   * about a second, or cannot read the job log.
   *
   * @param peerAddress IP address and port at which the host accepts calls from its peers
   * @param workerAddresses IP addresses and ports of the workers
   */
  CompletableFuture<ReachabilityReport> countReachable(
      String peerAddress, List<String> workerAddresses);
}
