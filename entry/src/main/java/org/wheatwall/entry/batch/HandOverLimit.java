package org.wheatwall.entry.batch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits how often the term is handed over because of unreachable workers, by whichever host.
 * Nothing starts during a hand-over, so the term must not circulate while reachability changes.
 */
final class HandOverLimit {
  private static final int MAX_HAND_OVERS = 2;
  private static final int WINDOW_MS = 30_000;

  private final Deque<Long> handOversMs = new ArrayDeque<>();

  /** Records that a hand-over to a chosen successor was read in the job log. */
  void record(long nowMs) {
    handOversMs.addLast(nowMs);
    if (handOversMs.size() > MAX_HAND_OVERS) {
      handOversMs.removeFirst();
    }
  }

  /** Returns whether another hand-over is allowed. */
  boolean allows(long nowMs) {
    return handOversMs.size() < MAX_HAND_OVERS || nowMs - handOversMs.getFirst() >= WINDOW_MS;
  }
}
