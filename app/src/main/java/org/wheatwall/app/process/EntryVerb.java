package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.entry.EntryHost;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.wire.settings.SettingsFile;

/** Runs an entry host until SIGTERM, which starts a planned stop. */
public final class EntryVerb implements Verb {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int DEFAULT_LISTENER_CLOSE_DELAY_MS = 1000;
  private static final long DRAIN_TIMEOUT_SECONDS = 60;

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String summary() {
    return "run an entry host";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("entry --settings FILE")
            .value("settings", "settings file, JSON with comments")
            .value("notice-ms", "time between a planned stop and the close of the listener");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    EntrySettings settings =
        SettingsFile.require(InputFiles.read(options.required("settings")), EntrySettings::read);
    int listenerCloseDelayMs = options.integer("notice-ms", DEFAULT_LISTENER_CLOSE_DELAY_MS);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    EntryHost host = EntryHost.start(settings, group);
    console.out("listening " + host.httpPort());
    waitForStop(host, listenerCloseDelayMs);
    return DONE;
  }

  private static void waitForStop(EntryHost host, int listenerCloseDelayMs) {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  host.drain(listenerCloseDelayMs)
                      .orTimeout(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                      .exceptionally(failure -> null)
                      .join();
                  stopped.countDown();
                },
                "drain"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
