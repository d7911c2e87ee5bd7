package org.wheatwall.entry.common;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clocks of a machine that may be suspended. Meanwhile its steady clock stands still, so that a
 * lease seems to hold for as much longer; another clock goes on, that of the time since the
 * machine's start, or where there is none the time of day. Where the two do not go together,
 * nothing that was to hold until some time is taken to hold any more. If only the time of day was
 * set, that costs one confirmation.
 *
 * <p>Thread-safe.
 */
public final class MachineClock implements Clock {
  private static final Logger LOG = LoggerFactory.getLogger(MachineClock.class);
  private static final long NANOS_PER_MS = 1_000_000;

  /** The clocks of the machine that this process runs on. */
  public static final Clock SYSTEM = ofThisMachine();

  /**
   * Difference between the clocks from which on it counts, milliseconds. Less is borne by the wait
   * of successors, which is longer by this and the drift of two clocks than a holder acts.
   */
  static final int NOTICEABLE_MS = 250;

  /** By how much limits come nearer: more than anything holds here, milliseconds. */
  static final int LONGEST_LIMIT_MS = 600_000;

  // Between the readings of two clocks a thread may have to wait for its turn.
  private static final int ATTEMPTS = 3;
  private static final int READ_TOGETHER_MS = 20;

  private final LongSupplier steadyNanos;
  private final LongSupplier wallMs;
  private final LongSupplier unstoppedMs;
  private long lastSteadyMs;
  private long lastUnstoppedMs;
  private long skippedMs;

  /**
   * Creates a clock.
   *
   * @param steadyNanos monotonic time, nanoseconds
   * @param wallMs milliseconds since 1970
   * @param unstoppedMs a clock that also counts while the machine is suspended, milliseconds
   */
  public MachineClock(LongSupplier steadyNanos, LongSupplier wallMs, LongSupplier unstoppedMs) {
    this.steadyNanos = steadyNanos;
    this.wallMs = wallMs;
    this.unstoppedMs = unstoppedMs;
    this.lastSteadyMs = nowMs();
    this.lastUnstoppedMs = unstoppedMs.getAsLong();
  }

  private static Clock ofThisMachine() {
    LongSupplier wallMs = System::currentTimeMillis;
    return new MachineClock(System::nanoTime, wallMs, BootTime.open().orElse(wallMs));
  }

  @Override
  public long nowMs() {
    return steadyNanos.getAsLong() / NANOS_PER_MS;
  }

  @Override
  public long wallMs() {
    return wallMs.getAsLong();
  }

  @Override
  public synchronized long skippedMs() {
    long steady = nowMs();
    long unstopped = unstoppedMs.getAsLong();
    for (int i = 1; i < ATTEMPTS && nowMs() - steady > READ_TOGETHER_MS; i++) {
      steady = nowMs();
      unstopped = unstoppedMs.getAsLong();
    }
    long aheadMs = (unstopped - lastUnstoppedMs) - (steady - lastSteadyMs);
    if (Math.abs(aheadMs) >= NOTICEABLE_MS) {
      skippedMs += LONGEST_LIMIT_MS;
      LOG.atWarn().addKeyValue("aheadMs", aheadMs).log("clocks-jumped");
    }
    lastSteadyMs = steady;
    lastUnstoppedMs = unstopped;
    return skippedMs;
  }
}
