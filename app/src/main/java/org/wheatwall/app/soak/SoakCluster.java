package org.wheatwall.app.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wheatwall.standin.store.StoreStandIn;
import org.wheatwall.standin.task.TaskLedger;

/**
 * The store, workers and hosts of a run. Each host is a separate process; the store and the workers
 * run in this process.
 */
final class SoakCluster implements AutoCloseable {
  private static final int EVENT_LOOPS = 4;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
  private final SignalSender signals = new SignalSender();
  private final TaskLedger ledger = new TaskLedger();
  private final StoreStandIn store;
  private final List<SoakWorker> workers = new ArrayList<>();
  private final List<SoakHost> hosts = new ArrayList<>();
  private final PublishedConfigurations configurations;
  private final Optional<ProcessorQuota> quota;

  SoakCluster(SoakSettings settings, RunClock clock) {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    store = StoreStandIn.start(group, any);
    InetSocketAddress storeAddress =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), store.port());
    for (int i = 0; i < settings.hosts(); i++) {
      hosts.add(new SoakHost(i, settings.folder(), group, storeAddress, signals));
    }
    List<String> addresses =
        hosts.stream().map(host -> host.jobsAddress().getAddress().getHostAddress()).toList();
    configurations = new PublishedConfigurations(store, addresses, clock);
    configurations.publish();
    for (int i = 0; i < settings.workers(); i++) {
      workers.add(new SoakWorker(i, group, store, ledger));
    }
    quota =
        Optional.of(settings.conditions())
            .filter(OperatingConditions::limitsProcessors)
            .map(conditions -> new ProcessorQuota(hosts, conditions.processorPercent()));
    hosts.forEach(SoakHost::start);
    quota.ifPresent(ProcessorQuota::start);
  }

  EventLoopGroup group() {
    return group;
  }

  TaskLedger ledger() {
    return ledger;
  }

  StoreStandIn store() {
    return store;
  }

  SoakWorker worker(int number) {
    return workers.get(number);
  }

  SoakHost host(int number) {
    return hosts.get(number);
  }

  List<SoakHost> hosts() {
    return hosts;
  }

  PublishedConfigurations configurations() {
    return configurations;
  }

  @Override
  public void close() {
    quota.ifPresent(ProcessorQuota::close);
    hosts.forEach(SoakHost::close);
    signals.close();
    workers.forEach(SoakWorker::close);
    store.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
