package org.wheatwall.core.job.decision;

/** Tells which workspaces hold more of the capacity than their share of it. */
interface WorkspaceShares {
  /** Shares that no workspace exceeds. */
  WorkspaceShares UNLIMITED = workspace -> false;

  /** Returns whether a workspace holds more than its share. */
  boolean isExceeded(String workspace);
}
