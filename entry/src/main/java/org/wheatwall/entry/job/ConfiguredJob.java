package org.wheatwall.entry.job;

import org.wheatwall.core.job.model.Job;

/**
 * A job of this zone as it stands in the configuration.
 *
 * @param version version of the configuration object
 * @param firstSeenMs monotonic time at which this host first saw the job, milliseconds
 */
record ConfiguredJob(String name, Job job, long version, long firstSeenMs) {}
