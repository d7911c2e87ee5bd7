package org.wheatwall.core.job.model;

/**
 * Settings of the division of capacity between the workspaces that wait for it.
 *
 * @param enabled whether the feature is switched on
 */
public record WorkspaceShareSettings(boolean enabled) {
  /** The feature switched off. */
  public static final WorkspaceShareSettings DISABLED = new WorkspaceShareSettings(false);
}
