package org.wheatwall.entry.platform;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.platform.HostList;

/** The platform's list of hosts, which lags behind their actual state. */
public interface HostListService {
  /** Returns the current list. */
  CompletableFuture<HostList> fetch();
}
