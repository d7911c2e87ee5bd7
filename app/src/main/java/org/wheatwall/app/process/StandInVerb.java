package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.list.HostListStandIn;
import org.wheatwall.standin.log.LogStandIn;
import org.wheatwall.standin.runner.RunnerBehavior;
import org.wheatwall.standin.runner.RunnerStandIn;
import org.wheatwall.standin.worker.WorkerStandIn;

/** Runs a stand-in for the platform, a worker or a runner until the process is terminated. */
public final class StandInVerb implements Verb {
  private static final String ANY_PORT = "127.0.0.1:0";

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "run a small stand-in: log, list, worker or runner";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("standin log|list|worker|runner [--listen ADDRESS]")
            .value("listen", "IP number and port, default a free port on 127.0.0.1")
            .value("retention-ms", "log: how long a record is kept")
            .value("appends-per-second", "log: appends taken a second")
            .value("lag-ms", "list: time until a change shows")
            .value("host", "worker: name of the host")
            .value("processors", "worker: processor cores")
            .value("memory-mb", "worker: memory")
            .value("accelerators", "worker: accelerators")
            .value("service-ms", "runner: time to answer a request")
            .value("seed", "seed of random faults");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().size() != 1) {
      throw new ParseException("name one of log, list, worker, runner");
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    console.out("listening " + start(options.positionalArguments().get(0), options, group));
    waitForever();
    return DONE;
  }

  private static int start(String kind, VerbOptions options, EventLoopGroup group)
      throws ParseException {
    InetSocketAddress address = options.address("listen", ANY_PORT);
    int seed = options.integer("seed", 1);
    switch (kind) {
      case "log" -> {
        LogStandIn.Settings defaults = LogStandIn.Settings.DEFAULT;
        LogStandIn.Settings settings =
            new LogStandIn.Settings(
                options.integer("retention-ms", (int) defaults.retentionMs()),
                options.integer("appends-per-second", defaults.appendsPerSecond()),
                seed);
        return LogStandIn.start(group, address, settings).port();
      }
      case "list" -> {
        return HostListStandIn.start(group, address, options.integer("lag-ms", 0)).port();
      }
      case "worker" -> {
        ResourceAmount capacity =
            new ResourceAmount(
                options.integer("processors", 32),
                options.integer("memory-mb", 131_072),
                options.integer("accelerators", 8));
        return WorkerStandIn.start(group, address, options.required("host"), capacity, seed).port();
      }
      case "runner" -> {
        RunnerStandIn runner = RunnerStandIn.start(group, address, seed);
        runner.setBehavior(RunnerBehavior.withServiceMs(options.integer("service-ms", 0)));
        return runner.port();
      }
      default -> throw new ParseException("unknown stand-in " + kind);
    }
  }

  private static void waitForever() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
