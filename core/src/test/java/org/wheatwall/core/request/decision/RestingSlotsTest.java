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
final class RestingSlotsTest {
  private static final int SLOTS = 8;
  private static final int LAST_MS = 60_000;

  /** What the runner saw: requests begun, and those beyond its slots. */
  private record Seen(int begun, int beyond) {}

  private record Out(long freeAtMs, boolean lost, long sentMs) {}

  @Test
  void noRequestGoesBeyondTheSlotsWhenLostOnesRest() {
    Seen seen = play(true);
    assertThat(seen.beyond()).isEqualTo(0);
    assertThat(seen.begun()).isGreaterThan(SLOTS * LAST_MS / 20 * 6 / 10);
  }

  @Test
  void slotsGivenOutAtOnceGoBeyond() {
    assertThat(play(false).beyond()).isGreaterThan(100);
  }

  @Test
  void aRestEndsWithinItsBound() {
    RestingSlots resting = new RestingSlots();
    resting.rest("slow", 30_000, 20, 0);
    resting.rest("young", 1, 20, 0);
    assertThat(resting.takeRested(18)).isEmpty();
    assertThat(resting.takeRested(19)).containsExactly("young");
    assertThat(resting.takeRested(RestingSlots.LONGEST_REST_MS)).containsExactly("slow");
    assertThat(resting.count()).isEqualTo(0);
  }

  private static Seen play(boolean rest) {
    SplittableRandom random = new SplittableRandom(1);
    ServiceTime times = new ServiceTime();
    for (int i = 0; i < 100; i++) {
      times.note(15 + random.nextInt(11));
    }
    RestingSlots resting = new RestingSlots();
    PriorityQueue<Out> out = new PriorityQueue<>(Comparator.comparingLong(Out::freeAtMs));
    List<Long> endsAtRunner = new ArrayList<>();
    int free = SLOTS;
    int begun = 0;
    int beyond = 0;
    for (long nowMs = 0; nowMs < LAST_MS; nowMs++) {
      long now = nowMs;
      endsAtRunner.removeIf(endMs -> endMs <= now);
      free += resting.takeRested(nowMs).size();
      while (!out.isEmpty() && out.peek().freeAtMs() <= nowMs) {
        Out back = out.poll();
        if (back.lost() && rest) {
          resting.rest("runner", (double) (nowMs - back.sentMs()), times.neededMs(), nowMs);
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
        out.add(new Out(nowMs + (lost ? random.nextLong(1, tookMs) : tookMs), lost, nowMs));
      }
    }
    return new Seen(begun, beyond);
  }
}
