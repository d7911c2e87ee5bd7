package org.wheatwall.app.compare.live;

import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;

/**
 * Parameters of a live simulation.
 *
 * @param hosts worker hosts of 8 accelerators, 8 to a rack
 * @param loadPercent arrival rate as a percentage of the standard rate
 * @param seconds time in which jobs arrive, seconds
 * @param reservedPercent percentage of the accelerators that is reserved for urgent work
 * @param seed seed of arrivals, run times and faults
 * @param mechanisms mechanisms that are enabled
 */
record LiveSpec(
    int hosts,
    int loadPercent,
    int seconds,
    int reservedPercent,
    long seed,
    Mechanisms mechanisms) {
  static final int ACCELERATORS = 8;
  static final int HOSTS_PER_RACK = 8;

  LiveSpec {
    Names.requireRange("hosts", hosts, 1, 20_000);
    Names.requireRange("loadPercent", loadPercent, 1, 1000);
    Names.requireRange("seconds", seconds, 1, 86_400);
  }

  /** Returns these parameters with other mechanisms. */
  LiveSpec withMechanisms(Mechanisms other) {
    return new LiveSpec(hosts, loadPercent, seconds, reservedPercent, seed, other);
  }
}
