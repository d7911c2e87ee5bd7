package org.wheatwall.entry.common;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the uptime can be read repeatedly and that other files yield none. */
final class KernelUptimeTest {
  private static final int RESOLUTION_MS = 10;
  private static final int SLACK_MS = 1000;

  @TempDir Path folder;

  @Test
  @EnabledOnOs(OS.LINUX)
  void advancesWithTheMonotonicClock() throws Exception {
    KernelUptime uptime = KernelUptime.open();
    long startNs = System.nanoTime();
    long firstMs = uptime.uptimeMs().orElseThrow();
    Thread.sleep(50);
    long uptimeMs = uptime.uptimeMs().orElseThrow() - firstMs;
    long monotonicMs = (System.nanoTime() - startNs) / 1_000_000;
    assertThat(uptimeMs).isAtLeast(50 - RESOLUTION_MS);
    assertThat(uptimeMs).isLessThan(monotonicMs + SLACK_MS);
  }

  @Test
  void readsSecondsAndHundredths() throws Exception {
    Path file = Files.writeString(folder.resolve("uptime"), "350735.47 234388.90\n");
    KernelUptime uptime = KernelUptime.open(file);
    assertThat(uptime.uptimeMs()).hasValue(350_735_470L);
    Files.writeString(file, "350735.58 234388.90\n");
    assertThat(uptime.uptimeMs()).hasValue(350_735_580L);
  }

  @Test
  void malformedFileYieldsNoUptime() throws Exception {
    Path file = Files.writeString(folder.resolve("uptime"), "up for three days\n");
    assertThat(KernelUptime.open(file).uptimeMs()).isEmpty();
  }

  @Test
  void missingFileYieldsNoUptime() {
    assertThat(KernelUptime.open(folder.resolve("none")).uptimeMs()).isEmpty();
  }
}
