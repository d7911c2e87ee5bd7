package org.wheatwall.standin.list;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.standin.common.FaultMode;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.platform.HostList;
import org.wheatwall.wire.platform.ListedHost;

/** Stand-in for the platform's host list; changes become visible only after a lag. */
public final class HostListStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final String HOSTS = "/hosts";

  private final Map<String, ListedHost> visibleHosts = new TreeMap<>();
  private final EventLoopGroup group;
  private final long lagMs;
  private final HttpServer server;
  private volatile FaultMode fault = FaultMode.NONE;

  private HostListStandIn(EventLoopGroup group, InetSocketAddress address, long lagMs) {
    this.group = group;
    this.lagMs = lagMs;
    this.server = HttpServer.start(group, address, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param lagMs delay until a change becomes visible, milliseconds
   */
  public static HostListStandIn start(EventLoopGroup group, InetSocketAddress address, long lagMs) {
    return new HostListStandIn(group, address, lagMs);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Sets the faults of later responses. */
  public void setFault(FaultMode next) {
    fault = next;
  }

  /** Adds or changes a host; becomes visible after the lag. */
  public void put(ListedHost host) {
    afterLag(() -> visibleHosts.put(host.name(), host));
  }

  /** Removes a host; becomes visible after the lag. */
  public void remove(String name) {
    afterLag(() -> visibleHosts.remove(name));
  }

  @Override
  public void close() {
    server.close();
  }

  private void afterLag(Runnable change) {
    Runnable guarded =
        () -> {
          synchronized (visibleHosts) {
            change.run();
          }
        };
    if (lagMs == 0) {
      guarded.run();
    } else {
      group.schedule(guarded, lagMs, TimeUnit.MILLISECONDS);
    }
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    if (call.path().equals("/fault")) {
      fault = Json.read(call.body(), FaultMode.class);
      return CompletableFuture.completedFuture(HttpReply.empty(204));
    }
    if (call.path().equals(HOSTS) && call.method().equals("PUT")) {
      Json.read(call.body(), HostList.class).hosts().forEach(this::put);
      return CompletableFuture.completedFuture(HttpReply.empty(204));
    }
    if (call.path().startsWith(HOSTS + "/") && call.method().equals("DELETE")) {
      remove(call.path().substring(HOSTS.length() + 1));
      return CompletableFuture.completedFuture(HttpReply.empty(204));
    }
    if (!call.path().equals(HOSTS) || fault.outage()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "list outage or no such path", "use /hosts"));
    }
    synchronized (visibleHosts) {
      HostList list = new HostList(List.copyOf(visibleHosts.values()));
      return CompletableFuture.completedFuture(HttpReply.json(200, Json.bytes(list)));
    }
  }
}
