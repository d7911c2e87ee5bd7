package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates a saturated runner that takes 15 to 25 ms per request while a fifth of the responses
 * are lost at some time before the runner has finished. Guards against slots that are reused while
 * the runner is still working, and slots whose cooldown never ends.
 */
final class SlotCooldownTest {
  private static final int SLOTS = 8;
  private static final int DURATION_MS = 60_000;

  /** Requests that the runner began, and those that exceeded its slots. */
  private record Counts(int begun, int excess) {}

  private record InFlight(long freeAtMs, boolean lost, long sentMs) {}

  @Test
  void noRequestExceedsTheSlotsWithCooldown() {
    Counts counts = simulate(true);
    assertThat(counts.excess()).isEqualTo(0);
    assertThat(counts.begun()).isGreaterThan(SLOTS * DURATION_MS / 20 * 6 / 10);
  }

  @Test
  void requestsExceedTheSlotsWithoutCooldown() {
    assertThat(simulate(false).excess()).isGreaterThan(100);
  }

  @Test
  void cooldownEndsWithinItsBound() {
    SlotCooldown cooldown = new SlotCooldown();
    cooldown.add("slow", 30_000, 20, 0);
    cooldown.add("young", 1, 20, 0);
    assertThat(cooldown.removeExpired(18)).isEmpty();
    assertThat(cooldown.removeExpired(19)).containsExactly("young");
    assertThat(cooldown.removeExpired(SlotCooldown.MAX_COOLDOWN_MS)).containsExactly("slow");
    assertThat(cooldown.count()).isEqualTo(0);
  }

  private static Counts simulate(boolean withCooldown) {
    SplittableRandom random = new SplittableRandom(1);
    ServiceTimeEstimator estimator = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.recordDuration(15 + random.nextInt(11));
    }
    SlotCooldown cooldown = new SlotCooldown();
    PriorityQueue<InFlight> inFlight =
        new PriorityQueue<>(Comparator.comparingLong(InFlight::freeAtMs));
    List<Long> endsAtRunner = new ArrayList<>();
    int free = SLOTS;
    int begun = 0;
    int excess = 0;
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs++) {
      long now = nowMs;
      endsAtRunner.removeIf(endMs -> endMs <= now);
      free += cooldown.removeExpired(nowMs).size();
      while (!inFlight.isEmpty() && inFlight.peek().freeAtMs() <= nowMs) {
        InFlight ended = inFlight.poll();
        if (ended.lost() && withCooldown) {
          cooldown.add(
              "runner", (double) (nowMs - ended.sentMs()), estimator.upperEstimateMs(), nowMs);
        } else {
          free++;
        }
      }
      for (; free > 0; free--) {
        long tookMs = random.nextLong(15, 26);
        boolean lost = random.nextInt(100) < 20;
        excess += endsAtRunner.size() >= SLOTS ? 1 : 0;
        begun++;
        endsAtRunner.add(nowMs + tookMs);
        inFlight.add(
            new InFlight(nowMs + (lost ? random.nextLong(1, tookMs) : tookMs), lost, nowMs));
      }
    }
    return new Counts(begun, excess);
  }
}
