package org.wheatwall.entry.job;

import org.wheatwall.core.job.model.Job;

/**
 * A job of this zone as the configuration shows it.
 *
 * @param version version of the object
 * @param seenMs when this host first saw it, monotonic
 */
record JobEntry(String name, Job job, long version, long seenMs) {}
