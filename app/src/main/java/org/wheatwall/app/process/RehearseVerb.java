package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.platform.PlatformHost;
import org.wheatwall.platform.PlatformSettings;
import org.wheatwall.standin.store.RehearsalCluster;

/**
 * Runs a short job through an entry host on loopback and ends. The build runs it once to record
 * which classes a start needs.
 */
public final class RehearseVerb implements Verb {
  private static final int LIMIT_SECONDS = 20;
  private static final int LEASE_MS = 6000;
  private static final int RETENTION_MS = 120_000;
  private static final double PROCESSOR_SPEED = 1;
  private static final int GRACE_MS = 2000;

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String summary() {
    return "run one job on loopback, to see that a start works";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    if (!new VerbOptions("rehearse").parse(arguments, console)) {
      return DONE;
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    RehearsalCluster cluster = RehearsalCluster.start(group);
    PlatformSettings settings =
        new PlatformSettings(
            "rehearsal",
            "127.0.0.1",
            "zone",
            anyPort(),
            anyPort(),
            anyPort(),
            anyPort(),
            cluster.storeAddress(),
            Optional.empty(),
            LEASE_MS,
            RETENTION_MS,
            GRACE_MS,
            PROCESSOR_SPEED,
            Mechanisms.ALL);
    PlatformHost host = PlatformHost.start(settings, group);
    boolean done = cluster.runJob(group, host.jobPort(), LIMIT_SECONDS * 1000);
    console.out(done ? "rehearsal: a job was run" : "rehearsal: no job was run");
    stop(host, cluster, group);
    return done ? DONE : FAILED;
  }

  private static void stop(PlatformHost host, RehearsalCluster cluster, EventLoopGroup group) {
    CompletableFuture<Void> stopped = host.stop();
    stopped.completeOnTimeout(null, GRACE_MS, TimeUnit.MILLISECONDS).join();
    cluster.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
