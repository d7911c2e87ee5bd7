package org.wheatwall.core.batch.model;

/**
 * One task of a run.
 *
 * @param worker identifier of the worker it was given to
 * @param ended whether it is known to be neither running nor able to start there
 */
public record GroupMember(String worker, boolean ended) {
  /** Returns a member that may be running. */
  public static GroupMember active(String worker) {
    return new GroupMember(worker, false);
  }
}
