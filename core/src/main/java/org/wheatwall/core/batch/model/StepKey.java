package org.wheatwall.core.batch.model;

/**
 * Names one step of a job at one of its due times.
 *
 * @param occurrence which of the job's due times, from 0
 * @param step position of the step
 */
public record StepKey(String jobId, int occurrence, int step) {
  /** Returns the step of a group. */
  public static StepKey of(GroupKey group) {
    return new StepKey(group.jobId(), group.occurrence(), group.step());
  }
}
