package org.wheatwall.app.compare;

import org.wheatwall.core.common.Names;

/**
 * Parameters of the job stream on which policies are compared.
 *
 * @param hosts worker hosts in the zone
 * @param hostsPerRack hosts in a rack
 * @param acceleratorsPerHost accelerators of a host
 * @param jobs jobs in the stream
 * @param load offered accelerator time as a percentage of the zone's capacity
 * @param seed seed of the stream
 */
public record StreamSpec(
    int hosts, int hostsPerRack, int acceleratorsPerHost, int jobs, int load, long seed) {
  /** Validates the bounds. */
  public StreamSpec {
    Names.requireRange("hosts", hosts, 1, 100_000);
    Names.requireRange("hostsPerRack", hostsPerRack, 1, 1000);
    Names.requireRange("acceleratorsPerHost", acceleratorsPerHost, 1, 64);
    Names.requireRange("jobs", jobs, 1, 1_000_000);
    Names.requireRange("load", load, 1, 1000);
  }
}
