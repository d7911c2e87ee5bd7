package org.wheatwall.core.job.model;

/**
 * Settings of the rejection of jobs that could not end before they are of no more use.
 *
 * @param enabled whether the feature is switched on
 */
public record AdmissionSettings(boolean enabled) {
  /** The feature switched off. */
  public static final AdmissionSettings DISABLED = new AdmissionSettings(false);
}
