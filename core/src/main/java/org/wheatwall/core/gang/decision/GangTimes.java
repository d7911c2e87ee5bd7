package org.wheatwall.core.gang.decision;

import org.wheatwall.core.common.Names;

/**
 * Timeouts and leases of the gang protocol, in milliseconds.
 *
 * @param reserveMs time within which every worker must reserve
 * @param startMs time within which every worker must start; also the lease of a part until all
 *     parts are known to run, which bounds how long a part can run without the others at the start
 * @param leaseMs lease of a part once all parts of the gang are known to run
 * @param memberMs time without a report after which a part is considered lost
 * @param checkpointMs time to save state before a stop
 * @param commandMs time after sending during which a command may still take effect on a worker
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
  /** Default times; two consecutive exchanges may be lost before a part is considered lost. */
  public static final GangTimes DEFAULT = new GangTimes(1000, 1500, 4500, 2600, 1500, 700, 1);

  private static final int MAX = 3_600_000;

  /** Validates the ranges. */
  public GangTimes {
    Names.requireRange("reserveMs", reserveMs, 1, MAX);
    Names.requireRange("startMs", startMs, 1, MAX);
    Names.requireRange("leaseMs", leaseMs, startMs, MAX);
    Names.requireRange("memberMs", memberMs, 1, leaseMs);
    Names.requireRange("checkpointMs", checkpointMs, 0, MAX);
    Names.requireRange("commandMs", commandMs, 1, MAX);
    Names.requireRange("driftPercent", driftPercent, 0, 50);
  }

  /**
   * Returns how long after sending a command with this lease its part may still run, in
   * milliseconds of the sender's clock.
   */
  public long lapseMs(long lease) {
    return (commandMs + lease) * (100 + driftPercent) / 100 + 1;
  }
}
