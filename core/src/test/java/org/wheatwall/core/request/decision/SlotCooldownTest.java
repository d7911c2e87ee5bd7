package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Plays a saturated runner that takes 15 to 25 ms a request while a fifth of the answers are lost
 * at some moment before the runner has ended. Catches slots given out while the runner is at work,
 * and slots that rest for good.
 */
final class SlotCooldownTest {
  private static final int SLOTS = 8;
  private static final int LAST_MS = 60_000;

  /** What the runner saw: requests begun, and those beyond its slots. */
  private record Counts(int begun, int beyond) {}

  private record InFlight(long freeAtMs, boolean lost, long sentMs) {}

  @Test
  void noRequestExceedsTheSlotsWithCooldown() {
    Counts seen = simulate(true);
    assertThat(seen.beyond()).isEqualTo(0);
    assertThat(seen.begun()).isGreaterThan(SLOTS * LAST_MS / 20 * 6 / 10);
  }

  @Test
  void requestsExceedTheSlotsWithoutCooldown() {
    assertThat(simulate(false).beyond()).isGreaterThan(100);
  }

  @Test
  void cooldownEndsWithinItsBound() {
    SlotCooldown resting = new SlotCooldown();
    resting.add("slow", 30_000, 20, 0);
    resting.add("young", 1, 20, 0);
    assertThat(resting.removeExpired(18)).isEmpty();
    assertThat(resting.removeExpired(19)).containsExactly("young");
    assertThat(resting.removeExpired(SlotCooldown.MAX_COOLDOWN_MS)).containsExactly("slow");
    assertThat(resting.count()).isEqualTo(0);
  }

  private static Counts simulate(boolean rest) {
    SplittableRandom random = new SplittableRandom(1);
    ServiceTimeEstimator times = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      times.record(15 + random.nextInt(11));
    }
    SlotCooldown resting = new SlotCooldown();
    PriorityQueue<InFlight> out = new PriorityQueue<>(Comparator.comparingLong(InFlight::freeAtMs));
    List<Long> endsAtRunner = new ArrayList<>();
    int free = SLOTS;
    int begun = 0;
    int beyond = 0;
    for (long nowMs = 0; nowMs < LAST_MS; nowMs++) {
      long now = nowMs;
      endsAtRunner.removeIf(endMs -> endMs <= now);
      free += resting.removeExpired(nowMs).size();
      while (!out.isEmpty() && out.peek().freeAtMs() <= nowMs) {
        InFlight back = out.poll();
        if (back.lost() && rest) {
          resting.add("runner", (double) (nowMs - back.sentMs()), times.upperEstimateMs(), nowMs);
        } else {
          free++;
        }
      }
      for (; free > 0; free--) {
        long tookMs = random.nextLong(15, 26);
        boolean lost = random.nextInt(100) < 20;
        beyond += endsAtRunner.size() >= SLOTS ? 1 : 0;
        begun++;
        endsAtRunner.add(nowMs + tookMs);
        out.add(new InFlight(nowMs + (lost ? random.nextLong(1, tookMs) : tookMs), lost, nowMs));
      }
    }
    return new Counts(begun, beyond);
  }
}
