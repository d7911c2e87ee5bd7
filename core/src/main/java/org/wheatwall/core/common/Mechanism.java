package org.wheatwall.core.common;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * A part of scheduling that can be switched off, to measure what it is worth or to do without it
 * when it does harm. What each is worth is measured in {@code docs/deciding.md}.
 */
public enum Mechanism {
  /** Room that other work leaves free while urgent work comes. */
  URGENT_ROOM,
  /** Gangs are placed rack by rack; without it, host by host where least is left. */
  RACK_PACKING,
  /** Room is kept for the first job that waits; without it, whatever fits may overtake. */
  FIRST_JOB_ROOM,
  /** Run times are learned by class; without it, declarations are taken as they are. */
  LEARNED_RUN_TIMES,
  /** Workers on which work keeps failing get none for a while. */
  QUARANTINE,
  /** Work is stopped where least is thrown away; without it, where fewest runs have to stop. */
  CHEAPEST_STOPS,
  /** A question about a job waits a moment for its end. */
  END_WAIT,
  /** The holder of a term is asked directly once its records stay away. */
  HOLDER_QUESTIONS,
  /** Workers that are late with an answer, and silent zones, get no new work. */
  LATE_WORKERS,
  /** Workers whose tasks turn slow or stand still are left aside. */
  SLOW_WORKERS,
  /** Gangs are placed on the hosts on which work was seen to be fast. */
  HOST_PACES,
  /** Calls are passed on to another host while the log cannot be reached. */
  PASSED_ON_CALLS;

  /** Returns the name in settings, such as {@code urgent-room}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the mechanism with a label, empty if there is none. */
  public static Optional<Mechanism> of(String label) {
    return Arrays.stream(values()).filter(value -> value.label().equals(label)).findFirst();
  }
}
