package org.wheatwall.app.compare;

import org.wheatwall.core.common.Names;

/**
 * The job stream that policies are compared on.
 *
 * @param hosts worker hosts in the zone
 * @param hostsPerRack hosts in a rack
 * @param acceleratorsPerHost accelerators of a host
 * @param jobs jobs in the stream
 * @param load offered accelerator time relative to what the zone has, percent
 * @param seed seed of the stream
 */
public record StreamSpec(
    int hosts, int hostsPerRack, int acceleratorsPerHost, int jobs, int load, long seed) {
  /** Validates. */
  public StreamSpec {
    Names.requireRange("hosts", hosts, 1, 100_000);
    Names.requireRange("hostsPerRack", hostsPerRack, 1, 1000);
    Names.requireRange("acceleratorsPerHost", acceleratorsPerHost, 1, 64);
    Names.requireRange("jobs", jobs, 1, 1_000_000);
    Names.requireRange("load", load, 1, 1000);
  }
}
