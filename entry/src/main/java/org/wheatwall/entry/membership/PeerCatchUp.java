package org.wheatwall.entry.membership;

import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.SnapshotPage;
import org.wheatwall.wire.message.SnapshotPull;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Fetches a newer configuration from another entry host of the zone while the log is down. At most
 * one request is in flight. Confined to the state thread.
 */
final class PeerCatchUp {
  private static final Logger LOG = LoggerFactory.getLogger(PeerCatchUp.class);
  private static final long TIMEOUT_MS = 3000;

  private final ConfigurationService configuration;
  private final PeerClient peers;
  private final Executor stateThread;
  private boolean requestInFlight;

  PeerCatchUp(ConfigurationService configuration, PeerClient peers, Executor stateThread) {
    this.configuration = configuration;
    this.peers = peers;
    this.stateThread = stateThread;
  }

  /** Requests a snapshot from a member that has read further, if the log is down. */
  void onLogPosition(Member member, long nextOffset) {
    boolean newer = nextOffset > configuration.nextOffset();
    boolean logIsDown = configuration.sinceHeadMs() >= MembershipService.LOG_STALE_MS;
    if (newer && logIsDown && !requestInFlight) {
      requestSnapshot(member);
    }
  }

  private void requestSnapshot(Member member) {
    requestInFlight = true;
    Envelope.Builder request =
        Envelope.newBuilder()
            .setSnapshotPull(SnapshotPull.newBuilder().setNewerThan(configuration.nextOffset()));
    peers
        .send(member.address(), request, TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> onSnapshotReply(member, reply, failure), stateThread);
  }

  private void onSnapshotReply(Member member, Envelope reply, Throwable failure) {
    requestInFlight = false;
    if (failure == null) {
      applySnapshot(reply.getSnapshotPage());
    } else {
      LOG.info("event=peer-snapshot-failed member={} cause={}", member.id(), failure.toString());
    }
  }

  private void applySnapshot(SnapshotPage page) {
    if (page.getNextOffset() > configuration.nextOffset()) {
      configuration.offerSnapshot(
          LogRecordCodec.readSnapshot(Json.tree(page.getContent().toByteArray())));
    }
  }
}
