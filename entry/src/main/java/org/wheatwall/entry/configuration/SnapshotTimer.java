package org.wheatwall.entry.configuration;

import java.util.concurrent.ThreadLocalRandom;
import org.wheatwall.core.configuration.decision.SnapshotAssembler;
import org.wheatwall.core.configuration.model.SnapshotChunk;

/**
 * Tells when this host should write a snapshot: when the newest whole one is older than the
 * interval. Each host waits a random time more, so that usually one of them writes; two are
 * harmless.
 */
final class SnapshotTimer {
  private final long intervalMs;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long newestAtMs;
  private long waitMs;

  SnapshotTimer(long intervalMs) {
    this.intervalMs = intervalMs;
    drawWait();
  }

  /** Notes a chunk that was appended at {@code atMs}. */
  void onChunk(SnapshotChunk chunk, long atMs) {
    if (assembler.add(chunk).isPresent()) {
      newestAtMs = Math.max(newestAtMs, atMs);
      drawWait();
    }
  }

  /** Returns whether to write now; then not again for an interval. */
  boolean isDue(long nowMs) {
    if (newestAtMs == 0) {
      newestAtMs = nowMs;
    }
    boolean due = nowMs - newestAtMs >= intervalMs + waitMs;
    if (due) {
      newestAtMs = nowMs;
      drawWait();
    }
    return due;
  }

  private void drawWait() {
    waitMs = ThreadLocalRandom.current().nextLong(Math.max(1, intervalMs / 4));
  }
}
