package org.wheatwall.core.batch.model;

/**
 * One task of a run.
 *
 * @param worker identifier of the worker to which it was assigned
 * @param ended whether it is known that it neither runs nor can start there
 */
public record GroupMember(String worker, boolean ended) {
  /** Returns a member that may be running or may still start. */
  public static GroupMember active(String worker) {
    return new GroupMember(worker, false);
  }
}
