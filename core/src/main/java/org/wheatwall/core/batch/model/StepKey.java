package org.wheatwall.core.batch.model;

/**
 * Identifies one step of a job at one of its due times.
 *
 * @param occurrence index of the job's due time, from 0
 * @param step index of the step in the job
 */
public record StepKey(String jobId, int occurrence, int step) {
  /** Returns the step of a group. */
  public static StepKey of(GroupKey group) {
    return new StepKey(group.jobId(), group.occurrence(), group.step());
  }
}
