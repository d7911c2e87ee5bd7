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
 * ahead of it {@link #MAX_UNCONFIRMED_LEADS} times while the time of day shows no suspension.
 *
 * <p>Not thread-safe.
 */
final class SuspensionDetector {
  private static final Logger LOG = LoggerFactory.getLogger(SuspensionDetector.class);

  static final int MAX_UNCONFIRMED_LEADS = 3;

  private final UptimeClock uptime;
  private boolean trusted;
  private long baseUptimeMs;
  private long baseMonotonicMs;
  private int unconfirmedLeads;

  SuspensionDetector(UptimeClock uptime, long steadyMs) {
    this.uptime = uptime;
    OptionalLong now = uptime.uptimeMs();
    trusted = now.isPresent();
    setBase(now.orElse(0), steadyMs);
  }

  /** Returns the uptime now, empty if it is not shown or disregarded. */
  OptionalLong uptimeMs() {
    return trusted ? uptime.uptimeMs() : OptionalLong.empty();
  }

  /**
   * Returns by how much the steady clock stood still since that was last told, milliseconds; 0 if
   * that is less than {@link MachineClock#JUMP_THRESHOLD_MS}.
   *
   * @param uptimeMs uptime read together with {@code steadyMs}
   * @param wallJumped whether the time of day parted from the steady clock meanwhile
   */
  long suspendedMs(OptionalLong uptimeMs, long steadyMs, boolean wallJumped) {
    if (!trusted || uptimeMs.isEmpty()) {
      return 0;
    }
    long aheadMs = (uptimeMs.getAsLong() - baseUptimeMs) - (steadyMs - baseMonotonicMs);
    if (Math.abs(aheadMs) < MachineClock.JUMP_THRESHOLD_MS) {
      return 0;
    }
    setBase(uptimeMs.getAsLong(), steadyMs);
    unconfirmedLeads = wallJumped ? 0 : unconfirmedLeads + 1;
    if (aheadMs < 0 || unconfirmedLeads >= MAX_UNCONFIRMED_LEADS) {
      trusted = false;
      LOG.atInfo().addKeyValue("aheadMs", aheadMs).log("uptime-of-another-machine");
    }
    return Math.max(0, aheadMs);
  }

  private void setBase(long uptimeMs, long steadyMs) {
    baseUptimeMs = uptimeMs;
    baseMonotonicMs = steadyMs;
  }
}
