package org.wheatwall.entry.common;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clocks of a machine that may be suspended. Meanwhile its steady clock stands still, so that a
 * lease seems to hold for as much longer; the time of day goes on. Where the two do not go
 * together, nothing that was to hold until some time is taken to hold any more. If only the time of
 * day was set, that costs one confirmation. A suspension during which the time of day is set back
 * by as much shows in the uptime only, on machines that show a process their own.
 *
 * <p>Thread-safe.
 */
public final class MachineClock implements Clock {
  private static final Logger LOG = LoggerFactory.getLogger(MachineClock.class);
  private static final long NANOS_PER_MS = 1_000_000;

  /** The clocks of the machine that this process runs on. */
  public static final Clock SYSTEM =
      new MachineClock(System::nanoTime, System::currentTimeMillis, KernelUptime.open());

  /**
   * Difference between the clocks from which on it counts, milliseconds. Less is borne by the wait
   * of successors, which is longer by this and the drift of two clocks than a holder acts.
   */
  static final int JUMP_THRESHOLD_MS = 250;

  /** By how much limits come nearer: more than anything holds here, milliseconds. */
  static final int MAX_LEASE_MS = 600_000;

  // Between the readings of two clocks a thread may have to wait for its turn.
  private static final int MAX_READS = 3;
  private static final int MAX_READ_GAP_MS = 20;

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallMs;
  private final SuspensionDetector suspensions;
  private long lastMonotonicMs;
  private long lastWallMs;
  private long skippedMs;

  /** Creates a clock of a machine that does not show its uptime. */
  public MachineClock(LongSupplier steadyNanos, LongSupplier wallMs) {
    this(steadyNanos, wallMs, UptimeClock.NONE);
  }

  /**
   * Creates a clock.
   *
   * @param steadyNanos monotonic time, nanoseconds
   * @param wallMs milliseconds since 1970
   */
  public MachineClock(LongSupplier steadyNanos, LongSupplier wallMs, UptimeClock uptime) {
    this.monotonicNanos = steadyNanos;
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
    long steady = nowMs();
    long wall = wallMs();
    OptionalLong uptime = suspensions.uptimeMs();
    for (int i = 1; i < MAX_READS && nowMs() - steady > MAX_READ_GAP_MS; i++) {
      steady = nowMs();
      wall = wallMs();
      uptime = suspensions.uptimeMs();
    }
    long aheadMs = (wall - lastWallMs) - (steady - lastMonotonicMs);
    boolean wallJumped = Math.abs(aheadMs) >= JUMP_THRESHOLD_MS;
    long suspendedMs = suspensions.suspendedMs(uptime, steady, wallJumped);
    if (wallJumped || suspendedMs > 0) {
      skippedMs += MAX_LEASE_MS;
      LOG.atWarn()
          .addKeyValue("wallAheadMs", aheadMs)
          .addKeyValue("suspendedMs", suspendedMs)
          .log("clocks-jumped");
    }
    lastMonotonicMs = steady;
    lastWallMs = wall;
    return skippedMs;
  }
}
