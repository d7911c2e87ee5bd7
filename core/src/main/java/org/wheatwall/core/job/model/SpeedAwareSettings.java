package org.wheatwall.core.job.model;

/**
 * Settings of placement by the expected completion of a job on hosts of unequal speed.
 *
 * @param enabled whether the feature is switched on
 */
public record SpeedAwareSettings(boolean enabled) {
  /** The feature switched off. */
  public static final SpeedAwareSettings DISABLED = new SpeedAwareSettings(false);
}
