package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the packaged executable as an entry host on the platform and controls it by signals. */
final class ServeProcessIT {
  private static final int TIMEOUT_MS = 20_000;

  @TempDir Path folder;

  // Without a handler the JVM exits on SIGHUP.
  @Test
  void hangUpReloadsTheSettingsAndKeepsTheProcessRunning() throws Exception {
    withProcess(
        (cluster, group, process) -> {
          assertThat(cluster.runJob(group, process.port(), TIMEOUT_MS)).isTrue();
          hangUp(process.process());
          awaitText(process.output(), "settings-reloaded");
          Files.writeString(process.settings(), "{");
          hangUp(process.process());
          awaitText(process.output(), "settings-refused");
          assertThat(process.process().isAlive()).isTrue();
          process.process().destroy();
          assertThat(process.process().waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
          assertThat(Files.readString(process.output())).contains("term-lost");
        });
  }

  // Guards against a handler that is installed only after the host has started: a SIGHUP that
  // arrives earlier terminates the process.
  @Test
  void hangUpDuringStartupDoesNotTerminateTheProcess() throws Exception {
    withProcess(
        (cluster, group, process) -> {
          awaitText(process.output(), "process-started");
          hangUp(process.process());
          assertThat(cluster.runJob(group, process.port(), TIMEOUT_MS)).isTrue();
          awaitText(process.output(), "settings-reloaded");
        });
  }

  private void withProcess(ServedHost.Scenario scenario) throws Exception {
    ServedHost.runScenario(folder, ServeProcessIT::command, folder, scenario);
  }

  private static List<String> command(Path settings) {
    return List.of(
        System.getProperty("wheatwall.executable"), "serve", "--settings", settings.toString());
  }

  private static void hangUp(Process process) throws Exception {
    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
  }

  private static void awaitText(Path file, String text) throws Exception {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!Files.readString(file).contains(text)) {
      assertThat(System.nanoTime()).isLessThan(deadlineNs);
      Thread.sleep(50);
    }
  }
}
