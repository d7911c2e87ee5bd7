package org.wheatwall.app;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wheatwall.standin.store.RehearsalCluster;
import org.wheatwall.wire.http.Addresses;

/**
 * An entry host on the platform that runs as a separate process, with stand-ins in the test
 * process.
 *
 * @param port port of the job API
 * @param settings settings file
 * @param output file with standard output and standard error
 */
record ServedHost(Process process, int port, Path settings, Path output) {
  /** Builds the command that starts a host with a settings file. */
  interface Command {
    List<String> forSettings(Path settings) throws IOException;
  }

  /** Actions of a test on the running host. */
  interface Scenario {
    void run(RehearsalCluster cluster, EventLoopGroup group, ServedHost host) throws Exception;
  }

  /** Runs a scenario with stand-ins and a host in {@code workingFolder}, then stops them. */
  static void runScenario(Path files, Command command, Path workingFolder, Scenario scenario)
      throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    RehearsalCluster cluster = RehearsalCluster.start(group);
    int port = freePort();
    Path settings = files.resolve("settings.json");
    Files.writeString(settings, settings(cluster, port));
    Path output = files.resolve("output.txt");
    Process process =
        new ProcessBuilder(command.forSettings(settings))
            .directory(workingFolder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    try {
      scenario.run(cluster, group, new ServedHost(process, port, settings, output));
    } finally {
      process.destroyForcibly();
      cluster.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static String settings(RehearsalCluster cluster, int port) throws IOException {
    return "{\"host\":\"h\",\"address\":\"127.0.0.1\",\"zone\":\"z\",\"listen\":{\"jobs\":\"127.0.0.1:"
        + port
        + "\",\"ready\":\"127.0.0.1:"
        + freePort()
        + "\",\"metrics\":\"127.0.0.1:"
        + freePort()
        + "\",\"peers\":\"127.0.0.1:"
        + freePort()
        + "\"},\"store\":{\"address\":\""
        + Addresses.text(cluster.storeAddress())
        + "\"},\"leaseMs\":6000,\"graceSeconds\":3}";
  }
}
