package org.wheatwall.core.job.model;

/**
 * Settings of the division of capacity between the workspaces that wait for it.
 *
 * @param enabled whether the feature is switched on
 * @param lateLast whether, within a workspace, jobs that can still meet their objective go before
 *     jobs that cannot
 * @param hopelessAfterObjectives multiple of its objective after which a job goes behind all other
 *     late jobs of its workspace, 1 to 1000
 */
public record WorkspaceShareSettings(
    boolean enabled, boolean lateLast, double hopelessAfterObjectives) {
  /** The smallest permitted multiple of the objective. */
  public static final int MIN_HOPELESS_AFTER_OBJECTIVES = 1;

  /** The largest permitted multiple of the objective. */
  public static final int MAX_HOPELESS_AFTER_OBJECTIVES = 1000;

  /** The feature switched off. */
  public static final WorkspaceShareSettings DISABLED = new WorkspaceShareSettings(false, true, 3);

  /** The feature switched on with its usual values. */
  public static final WorkspaceShareSettings USUAL = new WorkspaceShareSettings(true, true, 3);

  /** Validates. */
  public WorkspaceShareSettings {
    if (!(hopelessAfterObjectives >= MIN_HOPELESS_AFTER_OBJECTIVES
        && hopelessAfterObjectives <= MAX_HOPELESS_AFTER_OBJECTIVES)) {
      throw new IllegalArgumentException(
          "hopelessAfterObjectives is 1 to 1000, not " + hopelessAfterObjectives);
    }
  }
}
