package org.wheatwall.app.compare.live;

import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;

/**
 * One day of live load.
 *
 * @param hosts worker hosts of 8 accelerators, 8 to a rack
 * @param loadPercent arrivals in percent of the usual
 * @param seconds time in which jobs arrive, seconds
 * @param roomPercent share of the accelerators that is kept for urgent work
 * @param seed seed of arrivals, run times and disturbances
 * @param mechanisms which mechanisms work
 */
record LiveSpec(
    int hosts, int loadPercent, int seconds, int roomPercent, long seed, Mechanisms mechanisms) {
  static final int ACCELERATORS = 8;
  static final int HOSTS_A_RACK = 8;

  LiveSpec {
    Names.requireRange("hosts", hosts, 1, 20_000);
    Names.requireRange("loadPercent", loadPercent, 1, 1000);
    Names.requireRange("seconds", seconds, 1, 86_400);
  }

  /** Returns the same day with other mechanisms. */
  LiveSpec with(Mechanisms next) {
    return new LiveSpec(hosts, loadPercent, seconds, roomPercent, seed, next);
  }
}
