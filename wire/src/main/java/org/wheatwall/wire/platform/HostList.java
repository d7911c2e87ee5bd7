package org.wheatwall.wire.platform;

import java.util.List;

/** The platform's list of hosts. */
public record HostList(List<ListedHost> hosts) {
  /** Copies the list. */
  public HostList {
    hosts = List.copyOf(hosts);
  }
}
