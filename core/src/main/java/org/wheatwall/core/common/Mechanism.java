package org.wheatwall.core.common;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * A scheduling mechanism that can be disabled, to measure its benefit or because it does harm. The
 * measured benefit of each is listed in {@code docs/deciding.md}.
 */
public enum Mechanism {
  /** Capacity is kept free of other work while urgent work is arriving. */
  URGENT_ROOM,
  /** Gangs are placed rack by rack; if disabled, host by host, on those with the least free. */
  RACK_PACKING,
  /**
   * Capacity is reserved for the first waiting job; if disabled, any job that fits overtakes it.
   */
  FIRST_JOB_ROOM,
  /** Run times are learned per job class; if disabled, declared run times are used unchanged. */
  LEARNED_RUN_TIMES,
  /** Workers on which work keeps failing get no work for a while. */
  QUARANTINE,
  /**
   * Runs are stopped where the least work is lost; if disabled, where the fewest runs must stop.
   */
  CHEAPEST_STOPS,
  /** A query for a job waits briefly for the job to end. */
  END_WAIT,
  /** The term holder is queried directly when its log records stop arriving. */
  HOLDER_QUESTIONS,
  /** Workers whose responses are late, and zones that do not respond, get no new work. */
  LATE_WORKERS,
  /** Workers whose tasks become slow or make no progress are avoided. */
  SLOW_WORKERS,
  /** Gangs are placed on the hosts on which work was observed to run fast. */
  HOST_PACES,
  /** Calls are forwarded to another host while the log cannot be reached. */
  PASSED_ON_CALLS;

  /** Returns the name in settings, such as {@code urgent-room}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the mechanism with this label, empty if there is none. */
  public static Optional<Mechanism> of(String label) {
    return Arrays.stream(values()).filter(value -> value.label().equals(label)).findFirst();
  }
}
