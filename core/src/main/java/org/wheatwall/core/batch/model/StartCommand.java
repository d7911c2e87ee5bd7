package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * Order to start a run of a task.
 *
 * @param specification text of the job
 * @param checkpoint from where to go on, empty for the start
 * @param permit text by which the worker knows that it may run the task's step; empty if its queue
 *     needs none
 */
public record StartCommand(
    String worker,
    TaskName task,
    int run,
    String specification,
    String checkpoint,
    Optional<String> permit) {}
