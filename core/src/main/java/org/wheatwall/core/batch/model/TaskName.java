package org.wheatwall.core.batch.model;

/**
 * Names a task.
 *
 * @param occurrence which of the job's due times, from 0
 * @param step position of the step
 * @param index position of the task in the step
 */
public record TaskName(String jobId, int occurrence, int step, int index) {}
