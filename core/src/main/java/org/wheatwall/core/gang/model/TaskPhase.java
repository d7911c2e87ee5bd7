package org.wheatwall.core.gang.model;

import java.util.Locale;

/** What a worker says about its part of a gang. */
public enum TaskPhase {
  /** Resources are set aside; nothing runs. */
  RESERVED,
  /** The tasks run. */
  RUNNING,
  /** The tasks saved their state and are about to be stopped. */
  CHECKPOINTED,
  /** Every task of the part ended well. */
  SUCCEEDED,
  /** A task of the part failed by itself. */
  FAILED;

  /** Returns whether nothing of the part runs or can still start. */
  public boolean ended() {
    return this == SUCCEEDED || this == FAILED;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
