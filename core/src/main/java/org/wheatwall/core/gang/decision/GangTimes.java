package org.wheatwall.core.gang.decision;

import org.wheatwall.core.common.Names;

/**
 * Times of the gang protocol, milliseconds.
 *
 * @param reserveMs time in which every worker must have reserved
 * @param startMs time in which every worker must have started; also the lease of a part until all
 *     parts are known to run, and so the bound on a part running alone at start
 * @param leaseMs lease of a part of a gang known to run whole
 * @param memberMs time without a report after which a part counts as lost
 * @param checkpointMs time given to save state before a stop
 * @param commandMs how long after sending a command may still take effect on a worker
 * @param driftPercent bound on the difference of clock rates of two hosts, percent
 */
public record GangTimes(
    int reserveMs,
    int startMs,
    int leaseMs,
    int memberMs,
    int checkpointMs,
    int commandMs,
    int driftPercent) {
  /** Times for ordinary use; two exchanges in a row may be lost before a part counts as lost. */
  public static final GangTimes DEFAULT = new GangTimes(1000, 1500, 4500, 2600, 1500, 700, 1);

  private static final int MAX = 3_600_000;

  /** Validates. */
  public GangTimes {
    Names.requireRange("reserveMs", reserveMs, 1, MAX);
    Names.requireRange("startMs", startMs, 1, MAX);
    Names.requireRange("leaseMs", leaseMs, startMs, MAX);
    Names.requireRange("memberMs", memberMs, 1, leaseMs);
    Names.requireRange("checkpointMs", checkpointMs, 0, MAX);
    Names.requireRange("commandMs", commandMs, 1, MAX);
    Names.requireRange("driftPercent", driftPercent, 0, 50);
  }

  /** Returns how long after sending a command its part may still run, by the sender's clock. */
  public long lapseMs(long lease) {
    return (commandMs + lease) * (100 + driftPercent) / 100 + 1;
  }
}
