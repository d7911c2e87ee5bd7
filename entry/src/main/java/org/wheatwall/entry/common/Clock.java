package org.wheatwall.entry.common;

import java.util.concurrent.TimeUnit;

/** Time as an entry host sees it. */
public interface Clock {
  /** Returns monotonic time, milliseconds from an arbitrary start. */
  long nowMs();

  /** Returns wall clock time, milliseconds since 1970. */
  long wallMs();

  /** The machine's clocks. */
  Clock SYSTEM =
      new Clock() {
        @Override
        public long nowMs() {
          return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public long wallMs() {
          return System.currentTimeMillis();
        }
      };
}
