package org.wheatwall.entry.common;

import com.sun.jna.Native;
import com.sun.jna.Platform;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The time since the machine was started, of which a suspension is a part: {@code CLOCK_BOOTTIME}
 * of Linux, which the Java libraries do not reach.
 */
final class BootTime {
  private static final Logger LOG = LoggerFactory.getLogger(BootTime.class);
  private static final int CLOCK_BOOTTIME = 7;
  private static final long MS_PER_SECOND = 1000;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int TIMES_BITS = 64;
  private static final String FOLDER_KEY = "jna.tmpdir";

  private BootTime() {}

  private static String temporaryFolder() {
    return System.getProperty("java.io.tmpdir");
  }

  /** Returns a supplier of milliseconds; empty if the clock cannot be reached here. */
  static Optional<LongSupplier> open() {
    try {
      // Unpacked there for the time of loading; by default it goes to the home folder, which may be
      // read-only.
      System.setProperty(FOLDER_KEY, System.getProperty(FOLDER_KEY, temporaryFolder()));
      if (!Platform.isLinux() || Native.LONG_SIZE * Byte.SIZE != TIMES_BITS) {
        return Optional.empty();
      }
      Native.register(BootTime.class, "c");
      long[] time = new long[2];
      return clock_gettime(CLOCK_BOOTTIME, time) == 0
          ? Optional.of(BootTime::read)
          : Optional.empty();
    } catch (LinkageError | RuntimeException failure) {
      LOG.atWarn().addKeyValue("cause", failure).log("boot-time-unreachable");
      return Optional.empty();
    }
  }

  // Seconds and nanoseconds, as the C library has them on machines of 64 bits.
  private static long read() {
    long[] time = new long[2];
    if (clock_gettime(CLOCK_BOOTTIME, time) != 0) {
      throw new IllegalStateException("CLOCK_BOOTTIME cannot be read any more");
    }
    return time[0] * MS_PER_SECOND + time[1] / NANOS_PER_MS;
  }

  // The name that the C library gives it.
  @SuppressWarnings({"checkstyle:MethodName", "MemberName"})
  private static native int clock_gettime(int clock, long[] time);
}
