package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;

/** Read-only view of the hosts of a zone for policies. */
public interface ClusterView {
  /** Returns the host with the given name, empty if it is unknown. */
  Optional<HostState> host(String name);

  /** Returns all hosts. */
  Collection<HostState> hosts();

  /** Returns all racks. */
  Collection<RackState> racks();

  /** Returns hosts with at least {@code accelerators} free, grouped by free accelerators. */
  Collection<NavigableSet<HostState>> hostsWithFree(int accelerators);

  /** Returns racks with at least {@code accelerators} free, grouped by free accelerators. */
  Collection<NavigableSet<RackState>> racksWithFree(int accelerators);

  /** Returns whether the expected run time of a task differs between hosts. */
  boolean runTimesDiffer();

  /**
   * Returns racks with hosts of a {@link RunTimeClass}, by the accelerators that are free on these
   * hosts. Empty as long as run times have never differed.
   */
  NavigableMap<Integer, NavigableSet<RackState>> racksByFree(int runTimeClass);
}
