package org.wheatwall.app.compare;

import org.wheatwall.core.job.model.Job;

/**
 * One job of a stream. Times are in milliseconds since the start of the stream.
 *
 * @param arrivalMs submission time
 * @param runTimeMs actual run time, independent of the declared one
 * @param cancelMs cancellation time, negative if never
 */
record StreamJob(String name, Job job, long arrivalMs, long runTimeMs, long cancelMs) {}
