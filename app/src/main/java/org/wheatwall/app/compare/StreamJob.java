package org.wheatwall.app.compare;

import org.wheatwall.core.job.model.Job;

/**
 * One arrival.
 *
 * @param arrivesMs when it is submitted
 * @param runsMs how long it really runs, whatever it declares
 * @param cancelledMs when it is cancelled, negative if never
 */
record StreamJob(String name, Job job, long arrivesMs, long runsMs, long cancelledMs) {}
