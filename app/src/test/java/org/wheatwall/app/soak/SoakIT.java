package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A short soak violates no invariant, and the soak detects each kind of injected fault, which shows
 * that its checks are effective.
 */
final class SoakIT {
  private static final int HOSTS = 3;
  private static final int WORKERS = 4;
  private static final int DURATION_MS = 12_000;
  private static final int SABOTAGED_DURATION_MS = 8_000;
  private static final int MIN_ACCEPTED = 5;
  private static final int SEED_HOSTS = 4;
  private static final int SEED_WORKERS = 8;
  private static final int SEED_DURATION_MS = 20_000;

  @TempDir Path folder;

  @Test
  void invariantsHoldUnderTheDisturbancesOfASeed() {
    SoakResult result = new SoakRun(settings(1, DURATION_MS, Optional.empty())).run();
    System.out.println(result.line());
    assertThat(result.violations()).isEmpty();
    assertThat(result.disturbances()).isNotEmpty();
    assertThat(result.accepted()).isAtLeast(MIN_ACCEPTED);
  }

  /** Adds tasks that crash their workers, changes of capacity, and suspended machines. */
  @Test
  void invariantsHoldUnderHardDisturbances() {
    SoakSettings settings =
        new SoakSettings(2, SEED_HOSTS, SEED_WORKERS, DURATION_MS, folder, true, Optional.empty());
    SoakResult result = new SoakRun(settings).run();
    System.out.println(result.line());
    assertThat(result.violations()).isEmpty();
    assertThat(result.disturbances().keySet()).contains(DisturbanceKind.HOST_SUSPENDED);
    assertThat(result.accepted()).isAtLeast(MIN_ACCEPTED);
  }

  @ParameterizedTest
  @EnumSource(Sabotage.class)
  void anInjectedFaultIsFound(Sabotage sabotage) {
    SoakResult result =
        new SoakRun(settings(1, SABOTAGED_DURATION_MS, Optional.of(sabotage))).run();
    System.out.println(sabotage + " " + result.line());
    assertWithMessage("%s", result.violations())
        .that(result.violations().stream().map(Violation::invariant).toList())
        .containsAtLeastElementsIn(sabotage.violated());
  }

  /** Returns the seeds that failed before; the rest of each line states the cause. */
  static List<Long> failedSeeds() throws IOException {
    try (InputStream file = SoakIT.class.getResourceAsStream("/soak-seeds.txt")) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .filter(line -> !line.startsWith("#"))
          .map(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
          .toList();
    }
  }

  @ParameterizedTest
  @MethodSource("failedSeeds")
  void invariantsHoldForSeedsThatFailedBefore(long seed) {
    SoakSettings settings =
        new SoakSettings(
            seed, SEED_HOSTS, SEED_WORKERS, SEED_DURATION_MS, folder, false, Optional.empty());
    SoakResult result = new SoakRun(settings).run();
    System.out.println(result.line());
    assertThat(result.violations()).isEmpty();
  }

  private SoakSettings settings(long seed, int durationMs, Optional<Sabotage> sabotage) {
    return new SoakSettings(seed, HOSTS, WORKERS, durationMs, folder, false, sabotage);
  }
}
