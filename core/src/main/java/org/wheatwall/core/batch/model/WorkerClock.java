package org.wheatwall.core.batch.model;

/**
 * A reading of the monotonic clock of one incarnation of a worker.
 *
 * @param worker name of the incarnation, see {@link WorkerIncarnation#name}
 * @param clockMs the highest value that the clock can have shown, milliseconds
 */
public record WorkerClock(String worker, long clockMs) {}
