package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wheatwall.standin.store.RehearsalCluster;
import org.wheatwall.wire.http.Addresses;

/** The packaged executable as an entry host on the platform, told by signals. */
final class ServeProcessIT {
  private static final int LIMIT_MS = 20_000;

  @TempDir Path folder;

  // The virtual machine's own reaction to HUP is to end.
  @Test
  void hangUpReadsTheSettingsAndTheProcessGoesOn() throws Exception {
    withProcess(
        (cluster, group, process) -> {
          assertThat(cluster.runJob(group, process.port(), LIMIT_MS)).isTrue();
          hangUp(process.process());
          awaitText(process.output(), "settings-reloaded");
          Files.writeString(process.settings(), "{");
          hangUp(process.process());
          awaitText(process.output(), "settings-refused");
          assertThat(process.process().isAlive()).isTrue();
          process.process().destroy();
          assertThat(process.process().waitFor(LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue();
          assertThat(Files.readString(process.output())).contains("term-lost");
        });
  }

  // Signals were handled only once the host served, and one that came before ended the process.
  @Test
  void hangUpWhileTheProcessStartsDoesNotEndIt() throws Exception {
    withProcess(
        (cluster, group, process) -> {
          awaitText(process.output(), "process-started");
          hangUp(process.process());
          assertThat(cluster.runJob(group, process.port(), LIMIT_MS)).isTrue();
          awaitText(process.output(), "settings-reloaded");
        });
  }

  private record Served(Process process, int port, Path settings, Path output) {}

  private interface Course {
    void run(RehearsalCluster cluster, EventLoopGroup group, Served process) throws Exception;
  }

  private void withProcess(Course course) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    RehearsalCluster cluster = RehearsalCluster.start(group);
    int port = freePort();
    Path settings = folder.resolve("settings.json");
    Files.writeString(settings, settings(cluster, port));
    Path output = folder.resolve("output.txt");
    Process process =
        new ProcessBuilder(
                System.getProperty("wheatwall.executable"), "serve", "--settings", settings + "")
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    try {
      course.run(cluster, group, new Served(process, port, settings, output));
    } finally {
      process.destroyForcibly();
      cluster.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void hangUp(Process process) throws Exception {
    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
  }

  private static void awaitText(Path file, String text) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
    while (!Files.readString(file).contains(text)) {
      assertThat(System.nanoTime()).isLessThan(end);
      Thread.sleep(50);
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
