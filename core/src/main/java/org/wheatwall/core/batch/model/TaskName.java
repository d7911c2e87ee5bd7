package org.wheatwall.core.batch.model;

/**
 * Identifies a task.
 *
 * @param occurrence index of the job's due time, from 0
 * @param step index of the step in the job
 * @param index index of the task in the step
 */
public record TaskName(String jobId, int occurrence, int step, int index) {}
