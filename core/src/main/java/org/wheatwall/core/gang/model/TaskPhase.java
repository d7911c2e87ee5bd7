package org.wheatwall.core.gang.model;

import java.util.Locale;

/** Phase of a worker's part of a gang, as the worker reports it. */
public enum TaskPhase {
  /** Resources are reserved; nothing runs. */
  RESERVED,
  /** The tasks run. */
  RUNNING,
  /** The tasks saved their state and are about to be stopped. */
  CHECKPOINTED,
  /** Every task of the part succeeded. */
  SUCCEEDED,
  /** A task of the part failed of its own accord. */
  FAILED;

  /** Returns whether no task of the part runs or can still start. */
  public boolean ended() {
    return this == SUCCEEDED || this == FAILED;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
