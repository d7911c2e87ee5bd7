package org.wheatwall.app.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.platform.PlatformHost;
import org.wheatwall.platform.PlatformSettings;
import org.wheatwall.standin.store.RehearsalCluster;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.settings.SettingsFile;

/**
 * Runs a short job through an entry host on loopback and exits. The build runs this verb once to
 * record the loaded classes for the class archive. It therefore starts the host as {@link
 * ServeVerb} does and also loads the classes that a short job does not use.
 */
public final class RehearseVerb implements Verb {
  private static final Logger LOG = LoggerFactory.getLogger(RehearseVerb.class);
  private static final int JOB_TIMEOUT_SECONDS = 20;
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
    HangUpSignal.handle(() -> {});
    PlatformSettings settings = readSettings(cluster.storeAddress());
    PlatformHost host = PlatformHost.start(settings, group);
    boolean done = cluster.runJob(group, host.jobPort(), JOB_TIMEOUT_SECONDS * 1000);
    loadProgramClasses();
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

  // Reads the settings from a file, as a deployed host does.
  private static PlatformSettings readSettings(InetSocketAddress store) {
    try {
      Path file = Files.createTempFile("rehearsal", ".json");
      try {
        Files.writeString(file, settings(store));
        return SettingsFile.require(InputFiles.read(file.toString()), PlatformSettings::read);
      } finally {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw Refusal.invalid(
          "no settings file can be written: " + e.getMessage(), "check the temporary folder");
    }
  }

  private static String settings(InetSocketAddress store) throws IOException {
    return """
        {
          "host": "rehearsal",
          "address": "127.0.0.1",
          "zone": "zone",
          "listen": {"jobs": "%s", "ready": "%s", "metrics": "%s", "peers": "%s"},
          "store": {"address": "%s"},
          "graceSeconds": 2 // as GRACE_MS
        }
        """
        .formatted(
            freeAddress(), freeAddress(), freeAddress(), freeAddress(), Addresses.text(store));
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static void loadProgramClasses() {
    try {
      LOG.atInfo().addKeyValue("classes", ProgramClasses.load()).log("program-classes-loaded");
    } catch (IOException e) {
      LOG.atWarn().setCause(e).log("program-classes-not-loaded");
    }
  }
}
