package org.wheatwall.entry.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.decision.StepLedger;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.membership.ViewLeaseStatus;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.LedgerPage;
import org.wheatwall.wire.message.LedgerPull;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Copies the step ledger from another member of the view when this host joins it. If no member has
 * the ledger, earlier steps remain unknown and the ledger covers only the time from then on.
 *
 * <p>The ledger is guarded by its own lock; the other state is confined to the timer thread.
 */
final class LedgerSync {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerSync.class);
  private static final int PAGE_SIZE = 500;
  private static final long PULL_TIMEOUT_MS = 3000;
  private static final long RETRY_DELAY_MS = 200;

  private final StepLedger ledger;
  private final MembershipService membership;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;
  private final Clock clock;
  private final Set<String> membersWithoutLedger = new HashSet<>();
  private long epoch;
  private boolean pulling;

  LedgerSync(
      StepLedger ledger,
      MembershipService membership,
      PeerClient peers,
      ScheduledExecutorService timer,
      Clock clock) {
    this.ledger = ledger;
    this.membership = membership;
    this.peers = peers;
    this.timer = timer;
    this.clock = clock;
  }

  /** Processes a new view, and starts to copy the ledger if this host needs it. */
  void onEpochChanged(ViewLeaseStatus status) {
    boolean isMember = isMember(status);
    boolean wasMember =
        status.view().map(view -> view.previous().contains(membership.self())).orElse(false);
    synchronized (ledger) {
      if (!isMember || !wasMember) {
        ledger.setCoveredSince(Long.MAX_VALUE);
      }
      if (isMember && status.view().map(ZoneView::first).orElse(false)) {
        ledger.setCoveredSince(StepLedger.SINCE_BEGINNING);
      }
    }
    timer.execute(this::pullIfNeeded);
  }

  private boolean isMember(ViewLeaseStatus status) {
    return status.view().map(view -> view.members().contains(membership.self())).orElse(false);
  }

  private boolean isCovered() {
    synchronized (ledger) {
      return ledger.coveredSinceMs() != Long.MAX_VALUE;
    }
  }

  private void pullIfNeeded() {
    ViewLeaseStatus status = membership.status();
    if (pulling || isCovered() || !isMember(status)) {
      return;
    }
    if (status.epoch() != epoch) {
      epoch = status.epoch();
      membersWithoutLedger.clear();
    }
    List<Member> sources = new ArrayList<>(status.view().orElseThrow().members());
    sources.remove(membership.self());
    sources.removeIf(
        member -> membership.isRetired(member.id()) || membersWithoutLedger.contains(member.id()));
    if (sources.isEmpty()) {
      startCoverageNow();
      return;
    }
    pulling = true;
    pullPage(sources.get(0), 0);
  }

  private void startCoverageNow() {
    long nowMs = clock.wallMs();
    LOG.info("event=step-ledger-gap epoch={} coveredSince={}", epoch, nowMs);
    synchronized (ledger) {
      ledger.setCoveredSince(nowMs);
      ledger.adjustCoverage(nowMs, clock.nowMs());
    }
  }

  private void pullPage(Member source, int from) {
    LedgerPull.Builder pull = LedgerPull.newBuilder().setFrom(from).setLimit(PAGE_SIZE);
    peers
        .send(source.address(), Envelope.newBuilder().setLedgerPull(pull), PULL_TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              if (failure != null || membership.status().epoch() != epoch) {
                retry();
              } else {
                mergePage(source, from, reply.getLedgerPage());
              }
            },
            timer);
  }

  private void mergePage(Member source, int from, LedgerPage page) {
    if (page.getEpoch() != epoch) {
      // Until the source has this view, it may still admit steps that are not recorded here.
      retry();
      return;
    }
    if (page.getCoveredSinceMs() == Long.MAX_VALUE) {
      membersWithoutLedger.add(source.id());
      retry();
      return;
    }
    boolean last = page.getEntriesCount() < PAGE_SIZE;
    synchronized (ledger) {
      page.getEntriesList().forEach(entry -> ledger.merge(StepCodec.fromMessage(entry, clock)));
      ledger.mergeFingerprints(
          page.getFingerprintsList().stream().mapToLong(Long::longValue).toArray());
      if (last) {
        ledger.setCoveredSince(page.getCoveredSinceMs());
        ledger.adjustCoverage(clock.wallMs(), clock.nowMs());
      }
    }
    if (last) {
      pulling = false;
    } else {
      // Records move to the end when they change, so pages overlap by a tenth to miss none.
      pullPage(source, Math.max(1, from + PAGE_SIZE - PAGE_SIZE / 10));
    }
  }

  private void retry() {
    pulling = false;
    timer.schedule(this::pullIfNeeded, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }
}
