package org.wheatwall.core.job.decision;

import java.util.Objects;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;

/**
 * Bounds of the scheduler.
 *
 * @param starvationBoundMs waiting time after which a job may reclaim work that started after it
 *     was submitted
 * @param scanLimit searches for a place in one pass; jobs that are alike share one
 * @param startLimit jobs started in one pass
 * @param health when a host counts as failing
 * @param urgentHeadroomPercent share of all accelerators that other work leaves free while urgent
 *     work comes, so that urgent work seldom has to stop something
 * @param mechanisms which mechanisms work
 */
public record SchedulerSettings(
    int starvationBoundMs,
    int scanLimit,
    int startLimit,
    HostHealthSettings health,
    int urgentHeadroomPercent,
    Mechanisms mechanisms) {
  /** Settings for ordinary use. */
  public static final SchedulerSettings DEFAULT = new SchedulerSettings(600_000, 500, 64);

  /** Creates settings with the usual health of hosts. */
  public SchedulerSettings(int starvationBoundMs, int scanLimit, int startLimit) {
    this(starvationBoundMs, scanLimit, startLimit, HostHealthSettings.DEFAULT, 0, Mechanisms.ALL);
  }

  /** Validates. */
  public SchedulerSettings {
    Objects.requireNonNull(mechanisms);
    Names.requireRange("starvationBoundMs", starvationBoundMs, 1, Integer.MAX_VALUE);
    Names.requireRange("scanLimit", scanLimit, 1, 1_000_000);
    Names.requireRange("startLimit", startLimit, 1, 1_000_000);
    Names.requireRange("urgentHeadroomPercent", urgentHeadroomPercent, 0, 100);
  }
}
