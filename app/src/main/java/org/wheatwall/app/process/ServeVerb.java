package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.platform.PlatformHost;
import org.wheatwall.platform.PlatformSettings;
import org.wheatwall.wire.settings.SettingsFile;

/** Runs an entry host on the users' platform until SIGTERM. */
public final class ServeVerb implements Verb {
  private static final Logger LOG = LoggerFactory.getLogger(ServeVerb.class);

  // Hosts have one core; a second event loop would only add wake-ups.
  private static final int EVENT_LOOP_THREADS = 1;

  private final Clock clock;

  /** Creates the verb with the machine's clocks. */
  public ServeVerb() {
    this(MachineClock.SYSTEM);
  }

  /** Creates the verb with the given clock. */
  public ServeVerb(Clock clock) {
    this.clock = clock;
  }

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "run an entry host on the users' platform";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("serve --settings FILE")
            .value("settings", "settings file, JSON with comments; see deploy/settings.json");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    String file = options.required("settings");
    PlatformSettings settings = SettingsFile.require(InputFiles.read(file), PlatformSettings::read);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    // Installed before the host starts, because an unhandled SIGHUP terminates the process.
    CompletableFuture<PlatformHost> started = new CompletableFuture<>();
    HangUpSignal.handle(
        () ->
            started
                .thenAccept(host -> reload(host, file))
                .exceptionally(
                    failure -> {
                      LOG.atError().setCause(failure).log("settings-reload-failed");
                      return null;
                    }));
    PlatformHost host = PlatformHost.start(settings, group, clock);
    started.complete(host);
    waitForStop(host);
    return DONE;
  }

  // Invalid settings are rejected and the process keeps its current ones.
  private static void reload(PlatformHost host, String file) {
    try {
      host.reload(SettingsFile.require(InputFiles.read(file), PlatformSettings::read));
    } catch (Refusal refusal) {
      LOG.atWarn().addKeyValue("cause", refusal.getMessage()).log("settings-refused");
    }
  }

  private static void waitForStop(PlatformHost host) {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  host.stop().join();
                  stopped.countDown();
                },
                "stop"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
