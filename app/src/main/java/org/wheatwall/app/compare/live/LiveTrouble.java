package org.wheatwall.app.compare.live;

import java.util.List;
import java.util.Random;

/**
 * What goes wrong on a live day: every 20 s a tenth of the workers slows down to a seventh for 9 s,
 * and one stands still for 5 s; every 40 s the decider is lost, and replaced 1.26 s later, the time
 * that an unplanned change takes.
 */
final class LiveTrouble {
  private static final int OUTAGE_MS = 1260;
  private static final int OUTAGE_EVERY_MS = 40_000;
  private static final int TROUBLE_EVERY_MS = 20_000;
  private static final int SLOW_FOR_MS = 9000;
  private static final int STILL_FOR_MS = 5000;
  private static final double SLOW_SPEED = 1.0 / 7;
  private static final int SLOW_SHARE = 10;

  private final LiveClock clock;
  private final List<LiveWorker> workers;
  private final Random random;

  LiveTrouble(LiveClock clock, List<LiveWorker> workers, Random random) {
    this.clock = clock;
    this.workers = workers;
    this.random = random;
  }

  /** Plans the troubles of a day. */
  void plan(long lengthMs, Runnable deciderLost, Runnable deciderReplaced) {
    for (long atMs = TROUBLE_EVERY_MS / 2; atMs < lengthMs; atMs += TROUBLE_EVERY_MS) {
      for (int i = 0; i < Math.max(1, workers.size() / SLOW_SHARE); i++) {
        change(atMs, SLOW_SPEED, SLOW_FOR_MS);
      }
      change(atMs + TROUBLE_EVERY_MS / 2, 0, STILL_FOR_MS);
    }
    for (long atMs = OUTAGE_EVERY_MS; atMs < lengthMs; atMs += OUTAGE_EVERY_MS) {
      clock.at(atMs, deciderLost);
      clock.at(atMs + OUTAGE_MS, deciderReplaced);
    }
  }

  private void change(long atMs, double speed, int forMs) {
    LiveWorker worker = workers.get(random.nextInt(workers.size()));
    clock.at(atMs, () -> worker.setSpeed(speed));
    clock.at(atMs + forMs, () -> worker.setSpeed(1));
  }
}
