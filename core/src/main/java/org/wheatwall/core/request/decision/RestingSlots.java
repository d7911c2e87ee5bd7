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
public final class RestingSlots {
  /**
   * The longest rest, milliseconds. A runner that hangs then has half of its slots' time at a
   * deadline of a second, a chosen balance; the sum of deadline and rest stays within what a lender
   * grants.
   */
  public static final long LONGEST_REST_MS = 1000;

  private record Resting(String runner, long untilMs) {}

  private final PriorityQueue<Resting> resting =
      new PriorityQueue<>(Comparator.comparingLong(Resting::untilMs));

  /**
   * Lets the slot of a lost request rest: until most requests have ended, and at least as long
   * again as it has been out.
   *
   * @param outMs how long the request has been out, milliseconds
   * @param neededMs time that most requests need, milliseconds
   */
  public void rest(String runner, double outMs, double neededMs, long nowMs) {
    double restMs = Math.min(LONGEST_REST_MS, Math.max(neededMs - outMs, outMs));
    resting.add(new Resting(runner, nowMs + (long) Math.ceil(restMs)));
  }

  /** Removes and returns the runners, one entry a slot, whose slots have rested. */
  public List<String> takeRested(long nowMs) {
    List<String> rested = new ArrayList<>();
    while (!resting.isEmpty() && resting.peek().untilMs() <= nowMs) {
      rested.add(resting.poll().runner());
    }
    return rested;
  }

  /** Returns how many slots rest. */
  public int count() {
    return resting.size();
  }
}
