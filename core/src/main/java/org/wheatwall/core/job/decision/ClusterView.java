package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.NavigableSet;
import java.util.Optional;

/** What a policy sees of the hosts of a zone: everything, and nothing that it could change. */
public interface ClusterView {
  /** Returns the host of this name. */
  Optional<HostState> host(String name);

  /** Returns all hosts. */
  Collection<HostState> hosts();

  /** Returns all racks. */
  Collection<RackState> racks();

  /** Returns hosts with at least {@code accelerators} free, in groups by free accelerators. */
  Collection<NavigableSet<HostState>> hostsWithFree(int accelerators);

  /** Returns racks with at least {@code accelerators} free, in groups by free accelerators. */
  Collection<NavigableSet<RackState>> racksWithFree(int accelerators);
}
