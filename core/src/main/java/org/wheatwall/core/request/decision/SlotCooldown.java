package org.wheatwall.core.request.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Withholds the slots of requests whose response was lost. Their runner may still be processing
 * them, so reusing a slot at once would exceed the runner's limit: with a fifth of the responses
 * duplicated (a second copy makes the entry host drop the connection in the middle of the next
 * request), a saturated runner refused 656 and 804 requests while it began 959 and 955.
 *
 * <p>Not thread-safe; the owner must synchronize access.
 */
public final class SlotCooldown {
  /**
   * The longest cooldown, milliseconds. With a deadline of one second, the slots of a runner that
   * hangs are then in use half of the time; the sum of deadline and cooldown stays within the time
   * for which a slot is lent.
   */
  public static final long MAX_COOLDOWN_MS = 1000;

  private record CoolingSlot(String runner, long untilMs) {}

  private final PriorityQueue<CoolingSlot> slots =
      new PriorityQueue<>(Comparator.comparingLong(CoolingSlot::untilMs));

  /**
   * Starts the cooldown of a lost request's slot. It ends when most requests would have ended, but
   * lasts at least as long as the request has been in flight.
   *
   * @param inFlightMs how long the request has been in flight, milliseconds
   * @param upperEstimateMs time within which most requests end, milliseconds
   */
  public void add(String runner, double inFlightMs, double upperEstimateMs, long nowMs) {
    double cooldownMs =
        Math.min(MAX_COOLDOWN_MS, Math.max(upperEstimateMs - inFlightMs, inFlightMs));
    slots.add(new CoolingSlot(runner, nowMs + (long) Math.ceil(cooldownMs)));
  }

  /** Removes the slots whose cooldown has ended and returns their runners, one entry per slot. */
  public List<String> removeExpired(long nowMs) {
    List<String> runners = new ArrayList<>();
    while (!slots.isEmpty() && slots.peek().untilMs() <= nowMs) {
      runners.add(slots.poll().runner());
    }
    return runners;
  }

  /** Returns the number of slots in cooldown. */
  public int count() {
    return slots.size();
  }
}
