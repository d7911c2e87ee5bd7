package org.wheatwall.core.batch.model;

/**
 * Order to start a run of a task.
 *
 * @param specification text of the job
 * @param checkpoint from where to go on, empty for the start
 */
public record StartOrder(
    String worker, TaskName task, int run, String specification, String checkpoint) {}
