package org.wheatwall.app.soak;

import java.nio.file.Path;
import java.util.Optional;
import org.wheatwall.core.common.Names;

/**
 * The settings of one run of a soak.
 *
 * @param seed random seed of the disturbances and of the callers
 * @param hosts number of host processes under test
 * @param workers number of worker stand-ins
 * @param durationMs duration of the disturbances, milliseconds
 * @param folder directory for the settings and the output of the processes
 * @param hard whether tasks also crash workers, the capacity of workers changes, and machines are
 *     suspended
 * @param conditions load and processors of the hosts
 * @param sabotage a fault to inject instead of the random disturbances
 */
record SoakSettings(
    long seed,
    int hosts,
    int workers,
    int durationMs,
    Path folder,
    boolean hard,
    OperatingConditions conditions,
    Optional<Sabotage> sabotage) {
  private static final int MIN_DURATION_MS = 2000;
  private static final int MAX_HOSTS = 100;
  private static final int MAX_WORKERS = 1000;

  /** Validates the ranges. */
  SoakSettings {
    Names.requireRange("hosts", hosts, 1, MAX_HOSTS);
    Names.requireRange("workers", workers, 1, MAX_WORKERS);
    Names.requireRange("durationMs", durationMs, MIN_DURATION_MS, Integer.MAX_VALUE);
  }
}
