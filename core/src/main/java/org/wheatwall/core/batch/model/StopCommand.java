package org.wheatwall.core.batch.model;

/** Command to stop a run of a task and never to start that run. */
public record StopCommand(String worker, TaskName task, int run) {}
