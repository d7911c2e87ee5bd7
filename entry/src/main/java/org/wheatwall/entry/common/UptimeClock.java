package org.wheatwall.entry.common;

import java.util.OptionalLong;

/** Time since boot. Unlike the monotonic clock, it continues during a suspension. */
@FunctionalInterface
public interface UptimeClock {
  /** A machine that does not report its uptime. */
  UptimeClock NONE = OptionalLong::empty;

  /** Returns the time since boot, milliseconds, or empty if it cannot be read. */
  OptionalLong uptimeMs();
}
