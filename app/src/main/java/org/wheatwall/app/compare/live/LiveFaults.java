package org.wheatwall.app.compare.live;

import java.util.List;
import java.util.Random;

/**
 * Schedules the faults of a live simulation. Every 20 s a tenth of the workers slows down to a
 * seventh of its speed for 9 s, and one worker stalls for 5 s. Every 40 s the decider fails and is
 * replaced after 1.26 s, the duration of an unplanned fail-over.
 */
final class LiveFaults {
  private static final int OUTAGE_MS = 1260;
  private static final int OUTAGE_INTERVAL_MS = 40_000;
  private static final int FAULT_INTERVAL_MS = 20_000;
  private static final int SLOW_MS = 9000;
  private static final int STALL_MS = 5000;
  private static final double SLOW_SPEED = 1.0 / 7;
  private static final int SLOW_WORKER_DIVISOR = 10;

  private final LiveClock clock;
  private final List<LiveWorker> workers;
  private final Random random;

  LiveFaults(LiveClock clock, List<LiveWorker> workers, Random random) {
    this.clock = clock;
    this.workers = workers;
    this.random = random;
  }

  /** Schedules all faults up to {@code lengthMs}. */
  void schedule(long lengthMs, Runnable deciderLost, Runnable deciderReplaced) {
    for (long atMs = FAULT_INTERVAL_MS / 2; atMs < lengthMs; atMs += FAULT_INTERVAL_MS) {
      for (int i = 0; i < Math.max(1, workers.size() / SLOW_WORKER_DIVISOR); i++) {
        changeSpeed(atMs, SLOW_SPEED, SLOW_MS);
      }
      changeSpeed(atMs + FAULT_INTERVAL_MS / 2, 0, STALL_MS);
    }
    for (long atMs = OUTAGE_INTERVAL_MS; atMs < lengthMs; atMs += OUTAGE_INTERVAL_MS) {
      clock.at(atMs, deciderLost);
      clock.at(atMs + OUTAGE_MS, deciderReplaced);
    }
  }

  private void changeSpeed(long atMs, double speed, int durationMs) {
    LiveWorker worker = workers.get(random.nextInt(workers.size()));
    clock.at(atMs, () -> worker.setSpeed(speed));
    clock.at(atMs + durationMs, () -> worker.setSpeed(1));
  }
}
