package org.wheatwall.entry.platform;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.platform.HostList;

/** The platform's lagging list of hosts. */
public interface HostListService {
  /** Returns the list as the platform shows it now. */
  CompletableFuture<HostList> fetch();
}
