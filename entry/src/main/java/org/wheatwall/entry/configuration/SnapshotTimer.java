package org.wheatwall.entry.configuration;

import java.util.concurrent.ThreadLocalRandom;
import org.wheatwall.core.configuration.decision.SnapshotAssembler;
import org.wheatwall.core.configuration.model.SnapshotChunk;

/**
 * Decides when this host writes a snapshot: when the newest complete one is older than the
 * interval. Each host adds a random delay, so that usually only one of them writes; two snapshots
 * do no harm.
 */
final class SnapshotTimer {
  private final long intervalMs;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long newestSnapshotAtMs;
  private long jitterMs;

  SnapshotTimer(long intervalMs) {
    this.intervalMs = intervalMs;
    drawJitter();
  }

  /** Records a chunk that was appended at {@code atMs}. */
  void onChunk(SnapshotChunk chunk, long atMs) {
    if (assembler.add(chunk).isPresent()) {
      newestSnapshotAtMs = Math.max(newestSnapshotAtMs, atMs);
      drawJitter();
    }
  }

  /** Returns whether to write a snapshot now; if so, the next one is due after another interval. */
  boolean isDue(long nowMs) {
    if (newestSnapshotAtMs == 0) {
      newestSnapshotAtMs = nowMs;
    }
    boolean due = nowMs - newestSnapshotAtMs >= intervalMs + jitterMs;
    if (due) {
      newestSnapshotAtMs = nowMs;
      drawJitter();
    }
    return due;
  }

  private void drawJitter() {
    jitterMs = ThreadLocalRandom.current().nextLong(Math.max(1, intervalMs / 4));
  }
}
