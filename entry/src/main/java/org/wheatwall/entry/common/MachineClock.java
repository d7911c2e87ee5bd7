package org.wheatwall.entry.common;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clocks of a machine that may be suspended. During a suspension the monotonic clock stops, so
 * a lease would seem valid for that much longer, while the wall clock continues. If the two clocks
 * diverge, all leases are treated as expired. If the wall clock was only stepped, the cost is one
 * more confirmation. A suspension during which the wall clock is stepped back by the same time is
 * visible only in the uptime, on machines that report their own uptime to the process.
 *
 * <p>Thread-safe.
 */
public final class MachineClock implements Clock {
  private static final Logger LOG = LoggerFactory.getLogger(MachineClock.class);
  private static final long NANOS_PER_MS = 1_000_000;

  /** The clocks of the machine on which this process runs. */
  public static final Clock SYSTEM =
      new MachineClock(System::nanoTime, System::currentTimeMillis, KernelUptime.open());

  /**
   * Smallest difference between the clocks that counts as a jump, milliseconds. Smaller differences
   * are covered by the wait of successors, which exceeds the time for which a holder acts by this
   * and the drift of two clocks.
   */
  static final int JUMP_THRESHOLD_MS = 250;

  /** Step of the lease time at a jump, milliseconds. No lease lasts longer, so all expire. */
  static final int MAX_LEASE_MS = 600_000;

  // The thread may be descheduled between reading two clocks; such reads are repeated.
  private static final int MAX_READS = 3;
  private static final int MAX_READ_GAP_MS = 20;

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallMs;
  private final SuspensionDetector suspensions;
  private long lastMonotonicMs;
  private long lastWallMs;
  private long skippedMs;

  /** Creates a clock of a machine that does not report its uptime. */
  public MachineClock(LongSupplier monotonicNanos, LongSupplier wallMs) {
    this(monotonicNanos, wallMs, UptimeClock.NONE);
  }

  /**
   * Creates a clock.
   *
   * @param monotonicNanos monotonic time, nanoseconds
   * @param wallMs wall clock time, milliseconds since 1970
   */
  public MachineClock(LongSupplier monotonicNanos, LongSupplier wallMs, UptimeClock uptime) {
    this.monotonicNanos = monotonicNanos;
    this.wallMs = wallMs;
    this.lastMonotonicMs = nowMs();
    this.lastWallMs = wallMs();
    this.suspensions = new SuspensionDetector(uptime, lastMonotonicMs);
  }

  @Override
  public long nowMs() {
    return monotonicNanos.getAsLong() / NANOS_PER_MS;
  }

  @Override
  public long wallMs() {
    return wallMs.getAsLong();
  }

  @Override
  public synchronized long skippedMs() {
    long monotonicMs = nowMs();
    long wall = wallMs();
    OptionalLong uptime = suspensions.uptimeMs();
    for (int i = 1; i < MAX_READS && nowMs() - monotonicMs > MAX_READ_GAP_MS; i++) {
      monotonicMs = nowMs();
      wall = wallMs();
      uptime = suspensions.uptimeMs();
    }
    long aheadMs = (wall - lastWallMs) - (monotonicMs - lastMonotonicMs);
    boolean wallJumped = Math.abs(aheadMs) >= JUMP_THRESHOLD_MS;
    long suspendedMs = suspensions.suspendedMs(uptime, monotonicMs, wallJumped);
    if (wallJumped || suspendedMs > 0) {
      skippedMs += MAX_LEASE_MS;
      LOG.atWarn()
          .addKeyValue("wallAheadMs", aheadMs)
          .addKeyValue("suspendedMs", suspendedMs)
          .log("clocks-jumped");
    }
    lastMonotonicMs = monotonicMs;
    lastWallMs = wall;
    return skippedMs;
  }
}
