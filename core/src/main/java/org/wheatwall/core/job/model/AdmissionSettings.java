package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Names;

/**
 * Settings of the rejection of jobs that could not end before they are of no more use.
 *
 * @param enabled whether the feature is switched on
 * @param uselessAfterObjectives multiple of its objective after which the result of a job is of no
 *     more use
 * @param maxRetryAfterSeconds longest time after which a rejected submitter is asked to return
 */
public record AdmissionSettings(
    boolean enabled, double uselessAfterObjectives, int maxRetryAfterSeconds) {
  /** The feature switched off. */
  public static final AdmissionSettings DISABLED = new AdmissionSettings(false, 3, 30);

  /** Validates. */
  public AdmissionSettings {
    if (!(uselessAfterObjectives >= 1)) {
      throw new IllegalArgumentException("a result is of use until its objective at least");
    }
    Names.requireRange("maxRetryAfterSeconds", maxRetryAfterSeconds, 1, 3600);
  }
}
