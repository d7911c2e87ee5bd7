package org.wheatwall.entry.common;

import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells from the uptime of the machine that its steady clock stood still. Both clocks have the same
 * rate, so only a suspension lets them part, and only in one direction.
 *
 * <p>A process may be shown the uptime of another machine, such as the one that carries its virtual
 * machine. Such an uptime is disregarded from the moment at which it is behind the steady clock, or
 * ahead of it {@link #MOST_ALONE} times while the time of day shows no suspension.
 *
 * <p>Not thread-safe.
 */
final class SuspensionDetector {
  private static final Logger LOG = LoggerFactory.getLogger(SuspensionDetector.class);

  static final int MOST_ALONE = 3;

  private final UptimeClock uptime;
  private boolean inUse;
  private long sinceUptimeMs;
  private long sinceSteadyMs;
  private int aheadAlone;

  SuspensionDetector(UptimeClock uptime, long steadyMs) {
    this.uptime = uptime;
    OptionalLong now = uptime.uptimeMs();
    inUse = now.isPresent();
    start(now.orElse(0), steadyMs);
  }

  /** Returns the uptime now, empty if it is not shown or disregarded. */
  OptionalLong uptimeMs() {
    return inUse ? uptime.uptimeMs() : OptionalLong.empty();
  }

  /**
   * Returns by how much the steady clock stood still since that was last told, milliseconds; 0 if
   * that is less than {@link MachineClock#NOTICEABLE_MS}.
   *
   * @param uptimeMs uptime read together with {@code steadyMs}
   * @param wallJumped whether the time of day parted from the steady clock meanwhile
   */
  long suspendedMs(OptionalLong uptimeMs, long steadyMs, boolean wallJumped) {
    if (!inUse || uptimeMs.isEmpty()) {
      return 0;
    }
    long aheadMs = (uptimeMs.getAsLong() - sinceUptimeMs) - (steadyMs - sinceSteadyMs);
    if (Math.abs(aheadMs) < MachineClock.NOTICEABLE_MS) {
      return 0;
    }
    start(uptimeMs.getAsLong(), steadyMs);
    aheadAlone = wallJumped ? 0 : aheadAlone + 1;
    if (aheadMs < 0 || aheadAlone >= MOST_ALONE) {
      inUse = false;
      LOG.atInfo().addKeyValue("aheadMs", aheadMs).log("uptime-of-another-machine");
    }
    return Math.max(0, aheadMs);
  }

  private void start(long uptimeMs, long steadyMs) {
    sinceUptimeMs = uptimeMs;
    sinceSteadyMs = steadyMs;
  }
}
