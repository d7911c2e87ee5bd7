package org.wheatwall.core.job.model;

import java.util.Objects;

/**
 * Settings of the scheduling features that an operator switches on.
 *
 * @param speedAware placement by expected completion on hosts of unequal speed
 * @param workspaceShares division of capacity between workspaces
 * @param admission rejection of jobs that could not end in time
 */
public record SchedulingFeatures(
    SpeedAwareSettings speedAware,
    WorkspaceShareSettings workspaceShares,
    AdmissionSettings admission) {
  /** All features switched off. */
  public static final SchedulingFeatures NONE =
      new SchedulingFeatures(
          SpeedAwareSettings.DISABLED, WorkspaceShareSettings.DISABLED, AdmissionSettings.DISABLED);

  /** Validates. */
  public SchedulingFeatures {
    Objects.requireNonNull(speedAware);
    Objects.requireNonNull(workspaceShares);
    Objects.requireNonNull(admission);
  }
}
