package org.wheatwall.core.request.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Slots of requests whose answer was lost. Their runner may still be at work on them, so that a
 * slot given out at once would make one request too many there: with a fifth of the answers doubled
 * (a second copy makes the entry host drop the connection in the middle of the next request), a
 * saturated runner had to refuse 656 and 804 requests beside 959 and 955 that it began.
 *
 * <p>Not thread-safe; its owner guards it.
 */
public final class SlotCooldown {
  /**
   * The longest rest, milliseconds. A runner that hangs then has half of its slots' time at a
   * deadline of a second, a chosen balance; the sum of deadline and rest stays within what a lender
   * grants.
   */
  public static final long MAX_COOLDOWN_MS = 1000;

  private record CoolingSlot(String runner, long untilMs) {}

  private final PriorityQueue<CoolingSlot> slots =
      new PriorityQueue<>(Comparator.comparingLong(CoolingSlot::untilMs));

  /**
   * Lets the slot of a lost request rest: until most requests have ended, and at least as long
   * again as it has been out.
   *
   * @param outMs how long the request has been out, milliseconds
   * @param neededMs time that most requests need, milliseconds
   */
  public void add(String runner, double outMs, double neededMs, long nowMs) {
    double restMs = Math.min(MAX_COOLDOWN_MS, Math.max(neededMs - outMs, outMs));
    slots.add(new CoolingSlot(runner, nowMs + (long) Math.ceil(restMs)));
  }

  /** Removes and returns the runners, one entry a slot, whose slots have rested. */
  public List<String> removeExpired(long nowMs) {
    List<String> rested = new ArrayList<>();
    while (!slots.isEmpty() && slots.peek().untilMs() <= nowMs) {
      rested.add(slots.poll().runner());
    }
    return rested;
  }

  /** Returns how many slots rest. */
  public int count() {
    return slots.size();
  }
}
