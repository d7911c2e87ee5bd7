package org.wheatwall.entry.common;

import java.util.OptionalLong;

/** Time since the machine was booted. Unlike its steady clock it goes on over a suspension. */
@FunctionalInterface
public interface UptimeClock {
  /** A machine that does not show its uptime. */
  UptimeClock NONE = OptionalLong::empty;

  /** Returns milliseconds since the machine was booted, empty if they cannot be read. */
  OptionalLong uptimeMs();
}
