package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.platform.PlatformHost;
import org.wheatwall.platform.PlatformSettings;
import org.wheatwall.wire.settings.SettingsFile;

/** Runs an entry host on the users' platform until it is told to stop. */
public final class ServeVerb implements Verb {
  // Hosts have one core; a second loop would only add wake-ups.
  private static final int EVENT_LOOPS = 1;

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
    String text = SettingsText.read(options.required("settings"));
    PlatformSettings settings = SettingsFile.require(text, PlatformSettings::read);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    PlatformHost host = PlatformHost.start(settings, group);
    waitForStop(host);
    return DONE;
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
