package org.wheatwall.app.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.entry.EntryHost;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.standin.list.HostListStandIn;
import org.wheatwall.standin.log.LogStandIn;
import org.wheatwall.standin.runner.RunnerBehavior;
import org.wheatwall.standin.runner.RunnerStandIn;
import org.wheatwall.standin.worker.WorkerStandIn;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.settings.SettingsFile;

/** Runs entry hosts and stand-ins in one process, on free ports of the loopback address. */
public final class EmbeddedCluster implements AutoCloseable {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final ResourceAmount WORKER_CAPACITY = new ResourceAmount(32, 131_072, 8);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final LogStandIn log = LogStandIn.start(group, ANY_PORT, LogStandIn.Settings.DEFAULT);
  private final HostListStandIn list;
  private final Map<String, ListedHost> hostsByName = new LinkedHashMap<>();
  private final Map<String, RunnerStandIn> runners = new LinkedHashMap<>();
  private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
  private final List<EntryHost> entries = new ArrayList<>();

  /** Starts the stand-ins for the platform, whose host list lags by {@code listLagMs}. */
  public EmbeddedCluster(long listLagMs) {
    list = HostListStandIn.start(group, ANY_PORT, listLagMs);
  }

  /** Starts a runner and adds it to the host list. */
  public RunnerStandIn addRunner(String name, String zone, String service, int serviceMs) {
    RunnerStandIn runner = RunnerStandIn.start(group, ANY_PORT, runners.size() + 1L);
    runner.setBehavior(RunnerBehavior.withServiceMs(serviceMs));
    runners.put(name, runner);
    put(ListedHost.runner(name, zone, service, "127.0.0.1:" + runner.port(), RunnerStandIn.SLOTS));
    return runner;
  }

  /** Starts a worker and adds it to the host list. */
  public WorkerStandIn addWorker(String name, String zone, String rack) {
    WorkerStandIn worker =
        WorkerStandIn.start(group, ANY_PORT, name, WORKER_CAPACITY, workers.size() + 1L);
    workers.put(name, worker);
    put(ListedHost.worker(name, zone, rack, "127.0.0.1:" + worker.port(), WORKER_CAPACITY));
    return worker;
  }

  /** Starts an entry host and adds it to the host list. */
  public EntryHost addEntryHost(String name, String zone) {
    int peerPort = freePort();
    String settings =
        """
        {"host": "%s", "zone": "%s",
         "listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:%d"},
         "platform": {"log": "127.0.0.1:%d", "list": "127.0.0.1:%d", "listPollMs": 100}}
        """
            .formatted(name, zone, peerPort, log.port(), list.port());
    put(ListedHost.entry(name, zone, "127.0.0.1:" + peerPort));
    EntryHost entry = EntryHost.start(SettingsFile.require(settings, EntrySettings::read), group);
    entries.add(entry);
    return entry;
  }

  /** Marks a host as draining in the host list. */
  public void markDraining(String name) {
    put(hostsByName.get(name).asLeaving());
  }

  /** Returns the stand-in for the log. */
  public LogStandIn log() {
    return log;
  }

  /** Returns the runners by name. */
  public Map<String, RunnerStandIn> runners() {
    return runners;
  }

  /** Returns the workers by name. */
  public Map<String, WorkerStandIn> workers() {
    return workers;
  }

  @Override
  public void close() {
    entries.forEach(EntryHost::close);
    runners.values().forEach(RunnerStandIn::close);
    workers.values().forEach(WorkerStandIn::close);
    list.close();
    log.close();
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private void put(ListedHost host) {
    hostsByName.put(host.name(), host);
    list.put(host);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
