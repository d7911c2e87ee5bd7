package org.wheatwall.app.soak;

import java.nio.file.Path;
import java.util.Optional;
import org.wheatwall.core.common.Names;

/**
 * Settings of one run of a soak.
 *
 * @param seed decides the disturbances and what callers do
 * @param hosts processes under test
 * @param workers stand-ins of workers
 * @param durationMs time with disturbances, milliseconds
 * @param folder where the processes' settings and output go
 * @param hard whether tasks crash workers too, room of workers changes, and machines are suspended
 * @param sabotage a fault to put in on purpose; the run has no other disturbances then
 */
record SoakSettings(
    long seed,
    int hosts,
    int workers,
    int durationMs,
    Path folder,
    boolean hard,
    Optional<Sabotage> sabotage) {
  private static final int MIN_DURATION_MS = 2000;
  private static final int MAX_HOSTS = 100;
  private static final int MAX_WORKERS = 1000;

  /** Validates. */
  SoakSettings {
    Names.requireRange("hosts", hosts, 1, MAX_HOSTS);
    Names.requireRange("workers", workers, 1, MAX_WORKERS);
    Names.requireRange("durationMs", durationMs, MIN_DURATION_MS, Integer.MAX_VALUE);
  }
}
