package org.wheatwall.core.job.decision;

import java.util.Collection;
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
}
