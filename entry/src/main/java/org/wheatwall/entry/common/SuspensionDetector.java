package org.wheatwall.entry.common;

import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects from the uptime of the machine that its monotonic clock was stopped. Both clocks run at
 * the same rate, so they diverge only by a suspension, which leaves the uptime ahead.
 *
 * <p>A process may see the uptime of another machine, such as the host of its virtual machine. The
 * uptime is ignored from then on if it falls behind the monotonic clock, or if it runs ahead {@link
 * #MAX_UNCONFIRMED_LEADS} times in a row while the wall clock shows no suspension.
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

  SuspensionDetector(UptimeClock uptime, long monotonicMs) {
    this.uptime = uptime;
    OptionalLong now = uptime.uptimeMs();
    trusted = now.isPresent();
    setBase(now.orElse(0), monotonicMs);
  }

  /** Returns the current uptime, empty if it cannot be read or is ignored. */
  OptionalLong uptimeMs() {
    return trusted ? uptime.uptimeMs() : OptionalLong.empty();
  }

  /**
   * Returns for how long the monotonic clock was stopped since the last suspension that was
   * returned, milliseconds; 0 if that is less than {@link MachineClock#JUMP_THRESHOLD_MS}.
   *
   * @param uptimeMs uptime read together with {@code monotonicMs}
   * @param wallJumped whether the wall clock diverged from the monotonic clock in the meantime
   */
  long suspendedMs(OptionalLong uptimeMs, long monotonicMs, boolean wallJumped) {
    if (!trusted || uptimeMs.isEmpty()) {
      return 0;
    }
    long aheadMs = (uptimeMs.getAsLong() - baseUptimeMs) - (monotonicMs - baseMonotonicMs);
    if (Math.abs(aheadMs) < MachineClock.JUMP_THRESHOLD_MS) {
      return 0;
    }
    setBase(uptimeMs.getAsLong(), monotonicMs);
    unconfirmedLeads = wallJumped ? 0 : unconfirmedLeads + 1;
    if (aheadMs < 0 || unconfirmedLeads >= MAX_UNCONFIRMED_LEADS) {
      trusted = false;
      LOG.atInfo().addKeyValue("aheadMs", aheadMs).log("uptime-of-another-machine");
    }
    return Math.max(0, aheadMs);
  }

  private void setBase(long uptimeMs, long monotonicMs) {
    baseUptimeMs = uptimeMs;
    baseMonotonicMs = monotonicMs;
  }
}
