package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * Command to start a run of a task.
 *
 * @param specification text passed to the task
 * @param checkpoint checkpoint from which to resume, or empty to start over
 * @param permit permit text that proves that the worker may run the task's step, or empty if its
 *     queue needs none
 */
public record StartCommand(
    String worker,
    TaskName task,
    int run,
    String specification,
    String checkpoint,
    Optional<String> permit) {}
