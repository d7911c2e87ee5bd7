package org.wheatwall.core.job.decision;

import java.util.Objects;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.model.SchedulingFeatures;

/**
 * Limits and options of the scheduler.
 *
 * @param starvationBoundMs waiting time after which a job may reclaim the capacity of jobs
 *     submitted after it, milliseconds
 * @param scanLimit maximum placement searches in one pass; jobs with equal requirements share one
 * @param startLimit maximum jobs started in one pass
 * @param health settings for the quarantine of failing hosts
 * @param urgentHeadroomPercent share of usable accelerators that other work leaves free while
 *     urgent work arrives, so that urgent work rarely has to stop other work
 * @param mechanisms which mechanisms are enabled
 * @param features settings of the features that an operator switches on
 */
public record SchedulerSettings(
    int starvationBoundMs,
    int scanLimit,
    int startLimit,
    HostHealthSettings health,
    int urgentHeadroomPercent,
    Mechanisms mechanisms,
    SchedulingFeatures features) {
  /** Default settings. */
  public static final SchedulerSettings DEFAULT = new SchedulerSettings(600_000, 500, 64);

  /** Creates settings with defaults for the other components. */
  public SchedulerSettings(int starvationBoundMs, int scanLimit, int startLimit) {
    this(starvationBoundMs, scanLimit, startLimit, HostHealthSettings.DEFAULT, 0, Mechanisms.ALL);
  }

  /** Creates settings without features. */
  public SchedulerSettings(
      int starvationBoundMs,
      int scanLimit,
      int startLimit,
      HostHealthSettings health,
      int urgentHeadroomPercent,
      Mechanisms mechanisms) {
    this(
        starvationBoundMs,
        scanLimit,
        startLimit,
        health,
        urgentHeadroomPercent,
        mechanisms,
        SchedulingFeatures.NONE);
  }

  /** Validates. */
  public SchedulerSettings {
    Objects.requireNonNull(mechanisms);
    Objects.requireNonNull(features);
    Names.requireRange("starvationBoundMs", starvationBoundMs, 1, Integer.MAX_VALUE);
    Names.requireRange("scanLimit", scanLimit, 1, 1_000_000);
    Names.requireRange("startLimit", startLimit, 1, 1_000_000);
    Names.requireRange("urgentHeadroomPercent", urgentHeadroomPercent, 0, 100);
  }
}
