package org.wheatwall.core.job.model;

/**
 * Settings of the reserve for urgent work that follows a forecast of its demand.
 *
 * @param enabled whether the feature is switched on
 */
public record UrgentForecastSettings(boolean enabled) {
  /** The feature switched off. */
  public static final UrgentForecastSettings DISABLED = new UrgentForecastSettings(false);
}
