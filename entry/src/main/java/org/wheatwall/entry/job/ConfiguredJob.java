package org.wheatwall.entry.job;

import org.wheatwall.core.job.model.Job;

/**
 * A job of this zone as the configuration shows it.
 *
 * @param version version of the object
 * @param firstSeenMs when this host first saw it, monotonic
 */
record ConfiguredJob(String name, Job job, long version, long firstSeenMs) {}
