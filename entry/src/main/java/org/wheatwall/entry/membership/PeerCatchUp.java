package org.wheatwall.entry.membership;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.SnapshotPage;
import org.wheatwall.wire.message.SnapshotPull;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Fetches a newer configuration from another entry host of the zone while the log is down, in pages
 * of one transfer at a time. After a failure the transfer continues at the page that failed.
 * Confined to the state thread.
 */
final class PeerCatchUp {
  private static final Logger LOG = LoggerFactory.getLogger(PeerCatchUp.class);
  private static final long PAGE_TIMEOUT_MS = 3000;
  // A whole snapshot of the maximum size of a message takes 5 s at 7 Mbit/s.
  private static final long WHOLE_TIMEOUT_MS = 10_000;
  // Time without a page after which another member is asked for its snapshot.
  private static final long STALLED_MS = 8000;

  private final ConfigurationService configuration;
  private final PeerClient peers;
  private final Executor stateThread;
  private final Clock clock;
  private Optional<Transfer> transfer = Optional.empty();
  private boolean requestInFlight;

  /** The pages of one member's snapshot that have arrived. */
  private static final class Transfer {
    private final Member source;
    private SnapshotPosition next;
    private ByteString content = ByteString.EMPTY;
    private long progressMs;

    private Transfer(Member source, long newerThan, long nowMs) {
      this.source = source;
      this.next = new SnapshotPosition(newerThan, 0);
      this.progressMs = nowMs;
    }

    private void add(SnapshotPage page, long nowMs) {
      content = content.concat(page.getContent());
      next = new SnapshotPosition(page.getNextOffset(), next.page() + 1);
      progressMs = nowMs;
    }
  }

  PeerCatchUp(
      ConfigurationService configuration, PeerClient peers, Executor stateThread, Clock clock) {
    this.configuration = configuration;
    this.peers = peers;
    this.stateThread = stateThread;
    this.clock = clock;
  }

  /** Requests a snapshot from a member that has read further, if the log is down. */
  void onLogPosition(Member member, long nextOffset) {
    if (requestInFlight) {
      return;
    }
    if (!isLogDown()) {
      transfer = Optional.empty();
      return;
    }
    boolean stalled = transfer.isEmpty() || clock.nowMs() - transfer.get().progressMs >= STALLED_MS;
    if (stalled && nextOffset > configuration.nextOffset()) {
      transfer = Optional.of(new Transfer(member, configuration.nextOffset(), clock.nowMs()));
    }
    transfer.filter(current -> current.source.equals(member)).ifPresent(this::requestNextPage);
  }

  private boolean isLogDown() {
    return configuration.sinceHeadMs() >= MembershipService.LOG_STALE_MS;
  }

  private void requestNextPage(Transfer current) {
    request(current.source, current.next.number(), PAGE_TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              requestInFlight = false;
              if (failure == null) {
                onPage(current, reply.getSnapshotPage());
              } else {
                logFailure(current.source, failure);
              }
            },
            stateThread);
  }

  private CompletableFuture<Envelope> request(Member source, long newerThan, long timeoutMs) {
    requestInFlight = true;
    Envelope.Builder request =
        Envelope.newBuilder().setSnapshotPull(SnapshotPull.newBuilder().setNewerThan(newerThan));
    return peers.send(source.address(), request, timeoutMs);
  }

  private void onPage(Transfer current, SnapshotPage page) {
    if (page.getNextOffset() == 0) {
      // The source knows no pages.
      transfer = Optional.empty();
      requestWholeSnapshot(current.source);
    } else if (page.getNextOffset() == current.next.number() || !isLogDown()) {
      transfer = Optional.empty();
    } else if (page.getContent().isEmpty()) {
      transfer = Optional.empty();
      restore(page.getNextOffset(), current.content);
    } else {
      current.add(page, clock.nowMs());
      requestNextPage(current);
    }
  }

  private void requestWholeSnapshot(Member source) {
    request(source, configuration.nextOffset(), WHOLE_TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              requestInFlight = false;
              if (failure == null) {
                SnapshotPage page = reply.getSnapshotPage();
                restore(page.getNextOffset(), page.getContent());
              } else {
                logFailure(source, failure);
              }
            },
            stateThread);
  }

  private void restore(long nextOffset, ByteString content) {
    if (nextOffset > configuration.nextOffset()) {
      Snapshot snapshot = LogRecordCodec.readSnapshot(Json.tree(content.toByteArray()));
      // No heartbeat in between shall begin a transfer of the same snapshot.
      requestInFlight = true;
      configuration
          .offerSnapshot(snapshot)
          .whenComplete((done, failure) -> requestInFlight = false);
    }
  }

  private static void logFailure(Member source, Throwable failure) {
    LOG.info("event=peer-snapshot-failed member={} cause={}", source.id(), failure.toString());
  }
}
