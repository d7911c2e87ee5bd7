package org.wheatwall.entry.membership;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.SnapshotPage;
import org.wheatwall.wire.message.SnapshotPull;
import org.wheatwall.wire.peer.PeerServer;

/**
 * Sends the configuration to other entry hosts in pages, after which an empty page follows. All
 * requesters read the same snapshot, which is retained while one of them reads it. Thread-safe.
 */
public final class SnapshotPages {
  // Heartbeats share the connection and wait for one page at most, 150 ms at 7 Mbit/s.
  private static final int PAGE_BYTES = 128 * 1024;
  private static final int MAX_WHOLE_BYTES = PeerServer.MAX_MESSAGE_BYTES - 1024;
  // A requester repeats a page that it did not receive within this time.
  private static final long RETAIN_MS = 10_000;

  private final ConfigurationService configuration;
  private final Clock clock;
  private Optional<Retained> retained = Optional.empty();

  /** A snapshot that is being sent. */
  private static final class Retained {
    private final long nextOffset;
    private final ByteString content;
    private long usedMs;

    private Retained(long nextOffset, ByteString content, long usedMs) {
      this.nextOffset = nextOffset;
      this.content = content;
      this.usedMs = usedMs;
    }

    private SnapshotPage.Builder page(int number) {
      long start = Math.min((long) number * PAGE_BYTES, content.size());
      long end = Math.min(start + PAGE_BYTES, content.size());
      return SnapshotPage.newBuilder()
          .setNextOffset(nextOffset)
          .setContent(content.substring((int) start, (int) end));
    }
  }

  /** Creates a sender of the configuration of {@code configuration}. */
  public SnapshotPages(ConfigurationService configuration, Clock clock) {
    this.configuration = configuration;
    this.clock = clock;
  }

  /**
   * Returns the requested page. If it does not exist, the next offset of the response is the number
   * that was requested.
   */
  public CompletableFuture<SnapshotPage.Builder> pull(SnapshotPull pull) {
    Optional<SnapshotPosition> position = SnapshotPosition.of(pull.getNewerThan());
    if (position.isEmpty()) {
      return configuration.snapshotNewerThan(pull.getNewerThan()).thenApply(SnapshotPages::whole);
    }
    SnapshotPage.Builder none = SnapshotPage.newBuilder().setNextOffset(pull.getNewerThan());
    long newerThan = position.get().nextOffset();
    if (position.get().page() > 0 || isRetainedFor(newerThan)) {
      return CompletableFuture.completedFuture(retainedPage(position.get()).orElse(none));
    }
    return configuration
        .snapshotNewerThan(newerThan)
        .thenApply(
            snapshot -> {
              snapshot.ifPresent(this::retain);
              return retainedPage(position.get()).orElse(none);
            });
  }

  private synchronized boolean isRetainedFor(long newerThan) {
    // One that others still read is not replaced, or they would begin anew.
    return retained
        .filter(
            current -> current.nextOffset > newerThan || clock.nowMs() - current.usedMs < RETAIN_MS)
        .isPresent();
  }

  private synchronized Optional<SnapshotPage.Builder> retainedPage(SnapshotPosition position) {
    Optional<Retained> current =
        retained.filter(
            snapshot ->
                position.page() == 0
                    ? snapshot.nextOffset > position.nextOffset()
                    : snapshot.nextOffset == position.nextOffset());
    current.ifPresent(snapshot -> snapshot.usedMs = clock.nowMs());
    return current.map(snapshot -> snapshot.page(position.page()));
  }

  private void retain(Snapshot snapshot) {
    Retained next = new Retained(snapshot.nextOffset(), content(snapshot), clock.nowMs());
    synchronized (this) {
      if (!isRetainedFor(snapshot.nextOffset() - 1)) {
        retained = Optional.of(next);
        scheduleRelease();
      }
    }
  }

  private void scheduleRelease() {
    CompletableFuture.delayedExecutor(RETAIN_MS, TimeUnit.MILLISECONDS)
        .execute(this::releaseIfUnused);
  }

  private synchronized void releaseIfUnused() {
    if (retained.isEmpty()) {
      return;
    }
    if (clock.nowMs() - retained.get().usedMs >= RETAIN_MS) {
      retained = Optional.empty();
    } else {
      scheduleRelease();
    }
  }

  private static SnapshotPage.Builder whole(Optional<Snapshot> snapshot) {
    SnapshotPage.Builder page = SnapshotPage.newBuilder();
    snapshot.ifPresent(
        newest -> page.setNextOffset(newest.nextOffset()).setContent(content(newest)));
    if (page.getContent().size() > MAX_WHOLE_BYTES) {
      throw new Refusal(
          RefusalKind.TOO_LARGE,
          "the configuration of " + page.getContent().size() + " bytes exceeds one message",
          "run a version of wheatwall that requests it in pages");
    }
    return page;
  }

  private static ByteString content(Snapshot snapshot) {
    return ByteString.copyFrom(Json.bytes(LogRecordCodec.writeSnapshot(snapshot)));
  }
}
