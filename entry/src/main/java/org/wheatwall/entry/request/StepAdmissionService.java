package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.request.decision.StepLedger;
import org.wheatwall.core.request.decision.StepLedger.Leave;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.membership.MembershipListener;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.membership.ViewLeaseStatus;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.LedgerPage;
import org.wheatwall.wire.message.LedgerPull;
import org.wheatwall.wire.message.StepAsk;
import org.wheatwall.wire.message.StepFinish;
import org.wheatwall.wire.message.StepRecordReply;
import org.wheatwall.wire.message.StepRecordRequest;
import org.wheatwall.wire.message.StepReply;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Gives leave to run steps that may not be repeated, for the keys that belong to this zone and
 * within it to this member of the view. Leave is given only after every member of the view has
 * recorded it under the same epoch, so any member that remains knows of it, and a member whose view
 * is out of date cannot give leave at all.
 *
 * <p>The ledger is guarded by its own lock, which is never held while calling out.
 */
public final class StepAdmissionService implements MembershipListener {
  private static final int MAX_RECORDS = 40_000;

  // A third of the heap of an entry host.
  private static final long MAX_BYTES = 13_000_000;
  private static final long RECORD_TIMEOUT_MS = 500;
  private static final int MAX_PAGE_SIZE = 500;

  // Callers' clocks may differ from ours by this much.
  private static final long CLOCK_SKEW_MARGIN_MS = 5000;

  private final Clock clock;
  private final MembershipService membership;
  private final PeerClient peers;
  private final StepLedger ledger;
  private final Meter grants;
  private final LedgerSync ledgerSync;

  /** Creates a keeper with an empty ledger. */
  public StepAdmissionService(
      Clock clock,
      long keepAnswersMs,
      long maxDeadlineMs,
      MembershipService membership,
      PeerClient peers,
      ScheduledExecutorService timer,
      MetricRegistry metrics) {
    this.clock = clock;
    this.membership = membership;
    this.peers = peers;
    this.ledger = new StepLedger(keepAnswersMs, maxDeadlineMs, MAX_RECORDS, MAX_BYTES);
    this.ledgerSync = new LedgerSync(ledger, membership, peers, timer, clock);
    this.grants = metrics.meter("steps.leave-given");
    metrics.gauge("steps.records", () -> this::recordCount);
  }

  /** Returns the number of records held. */
  public int recordCount() {
    synchronized (ledger) {
      return ledger.size();
    }
  }

  /** Forgets what is old. */
  public void tick() {
    synchronized (ledger) {
      ledger.forget(clock.wallMs());
    }
  }

  /** Answers another entry host that asks for leave. */
  public CompletableFuture<Envelope.Builder> onStepRequest(StepAsk ask) {
    Optional<Long> issued =
        ask.getIssuedMs() == 0 ? Optional.empty() : Optional.of(ask.getIssuedMs());
    return decide(ask.getKey(), ask.getEpoch(), GrantId.parse(ask.getGrantId()), issued)
        .thenApply(reply -> Envelope.newBuilder().setStepReply(reply));
  }

  /** Records leave that another member is giving. */
  public CompletableFuture<Envelope.Builder> onRecordRequest(StepRecordRequest request) {
    ViewLeaseStatus status = membership.status();
    StepRecordReply.Builder reply = StepRecordReply.newBuilder().setEpoch(status.epoch());
    if (request.getEpoch() == status.epoch()) {
      synchronized (ledger) {
        boolean recorded =
            ledger.start(request.getKey(), GrantId.parse(request.getGrantId()), clock.wallMs());
        reply.setRecorded(recorded).setCoveredSinceMs(ledger.coveredSinceMs());
        if (!recorded) {
          ledger
              .find(request.getKey())
              .ifPresent(known -> reply.setKnown(StepCodec.toMessage(known)));
        }
      }
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setStepRecordReply(reply));
  }

  /** Takes in how a step ended, and passes it on to the other members. */
  public CompletableFuture<Envelope.Builder> onFinish(StepFinish finish) {
    Optional<Answer> answer =
        finish.hasAnswer()
            ? Optional.of(StepCodec.fromMessage(finish.getAnswer()))
            : Optional.empty();
    synchronized (ledger) {
      ledger.finish(
          finish.getKey(),
          GrantId.parse(finish.getGrantId()),
          StepState.ofNumber(finish.getState()),
          answer,
          clock.wallMs());
    }
    if (!finish.getPassedOn()) {
      StepFinish passedOn = finish.toBuilder().setPassedOn(true).build();
      for (Member other : otherMembers(membership.status())) {
        peers.send(
            other.address(), Envelope.newBuilder().setStepFinish(passedOn), RECORD_TIMEOUT_MS);
      }
    }
    return CompletableFuture.completedFuture(
        Envelope.newBuilder().setStepFinish(StepFinish.newBuilder().setKey(finish.getKey())));
  }

  /** Gives a new member a page of the ledger. */
  public CompletableFuture<Envelope.Builder> onLedgerPull(LedgerPull pull) {
    LedgerPage.Builder page = LedgerPage.newBuilder().setEpoch(membership.status().epoch());
    synchronized (ledger) {
      int limit = Math.min(MAX_PAGE_SIZE, Math.max(1, pull.getLimit()));
      ledger
          .page(pull.getFrom(), limit)
          .forEach(record -> page.addEntries(StepCodec.toMessage(record)));
      if (pull.getFrom() == 0) {
        for (long fingerprint : ledger.fingerprints()) {
          page.addFingerprints(fingerprint);
        }
      }
      page.setCoveredSinceMs(ledger.coveredSinceMs());
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setLedgerPage(page));
  }

  @Override
  public void onEpochChanged(ViewLeaseStatus status) {
    ledgerSync.onEpochChanged(status);
  }

  @Override
  public void onHeartbeatReply(String memberId, HeartbeatReply reply) {}

  @Override
  public void onMemberRetired(String memberId) {}

  /** Decides on an ask of this host or another, made under a view of {@code epoch}. */
  CompletableFuture<StepReply> decide(
      String key, long epoch, GrantId grant, Optional<Long> issuedMs) {
    ViewLeaseStatus status = membership.status();
    boolean keeper =
        status.view().stream()
            .flatMap(view -> RendezvousHash.choose("key/" + key, view.memberIds()).stream())
            .anyMatch(membership.self().id()::equals);
    if (epoch != status.epoch() || !keeper || !status.mayAct(clock)) {
      return CompletableFuture.completedFuture(reply(StepReply.Leave.REFUSED));
    }
    synchronized (ledger) {
      Leave leave = ledger.judge(key, issuedMs, StepLedger.SINCE_EVER, clock.wallMs());
      boolean repeatedAsk =
          ledger.find(key).map(record -> grant.supersedes(record.grant())).orElse(false);
      // The reply to an asker's first ask may have been lost; it is recorded everywhere again.
      if (leave != Leave.RUN && !(leave == Leave.IN_PROGRESS && repeatedAsk)) {
        return CompletableFuture.completedFuture(knownReply(key, leave));
      }
      ledger.start(key, grant, clock.wallMs());
    }
    return recordEverywhere(key, grant, issuedMs, status);
  }

  private CompletableFuture<StepReply> recordEverywhere(
      String key, GrantId grant, Optional<Long> issuedMs, ViewLeaseStatus status) {
    StepRecordRequest request =
        StepRecordRequest.newBuilder()
            .setKey(key)
            .setGrantId(grant.text())
            .setEpoch(status.epoch())
            .setIssuedMs(issuedMs.orElse(0L))
            .build();
    List<CompletableFuture<StepRecordReply>> replies = new ArrayList<>();
    for (Member other : otherMembers(status)) {
      replies.add(
          peers
              .send(
                  other.address(), Envelope.newBuilder().setStepRecord(request), RECORD_TIMEOUT_MS)
              .thenApply(Envelope::getStepRecordReply));
    }
    return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .handle(
            (all, failure) ->
                failure == null
                    ? finishAdmission(key, grant, issuedMs, status, replies)
                    : release(key, grant));
  }

  private StepReply finishAdmission(
      String key,
      GrantId grant,
      Optional<Long> issuedMs,
      ViewLeaseStatus status,
      List<CompletableFuture<StepRecordReply>> replies) {
    long coverage;
    synchronized (ledger) {
      coverage = ledger.coveredSinceMs();
    }
    for (CompletableFuture<StepRecordReply> future : replies) {
      StepRecordReply reply = future.join();
      if (reply.hasKnown()) {
        return mergeKnown(key, grant, StepCodec.fromMessage(reply.getKnown()));
      }
      if (!reply.getRecorded()) {
        return reply.getEpoch() == status.epoch() ? markUnknown(key, grant) : release(key, grant);
      }
      coverage = Math.min(coverage, reply.getCoveredSinceMs());
    }
    long since = coverage;
    boolean covered =
        coverage == StepLedger.SINCE_EVER
            || issuedMs.map(issued -> issued > since + CLOCK_SKEW_MARGIN_MS).orElse(false);
    if (!covered) {
      return markUnknown(key, grant);
    }
    if (!membership.status().mayAct(clock) || membership.status().epoch() != status.epoch()) {
      return release(key, grant);
    }
    grants.mark();
    return reply(StepReply.Leave.RUN);
  }

  private StepReply mergeKnown(String key, GrantId grant, StepRecord known) {
    synchronized (ledger) {
      ledger.finish(key, grant, StepState.RELEASED, Optional.empty(), clock.wallMs());
      ledger.merge(known);
      return knownReply(
          key, ledger.judge(key, Optional.empty(), StepLedger.SINCE_EVER, clock.wallMs()));
    }
  }

  private StepReply knownReply(String key, Leave leave) {
    StepReply.Builder reply = StepReply.newBuilder();
    switch (leave) {
      case KEPT -> {
        reply.setLeave(StepReply.Leave.KEPT);
        ledger
            .find(key)
            .flatMap(StepRecord::answer)
            .ifPresent(answer -> reply.setAnswer(StepCodec.toMessage(answer)));
      }
      case IN_PROGRESS -> reply.setLeave(StepReply.Leave.IN_PROGRESS);
      case FULL -> reply.setLeave(StepReply.Leave.FULL);
      default -> reply.setLeave(StepReply.Leave.UNKNOWN);
    }
    return reply.build();
  }

  private StepReply release(String key, GrantId grant) {
    recordOutcomeEverywhere(key, grant, StepState.RELEASED);
    return reply(StepReply.Leave.REFUSED);
  }

  private StepReply markUnknown(String key, GrantId grant) {
    recordOutcomeEverywhere(key, grant, StepState.UNKNOWN);
    return reply(StepReply.Leave.UNKNOWN);
  }

  private void recordOutcomeEverywhere(String key, GrantId grant, StepState state) {
    onFinish(
        StepFinish.newBuilder()
            .setKey(key)
            .setGrantId(grant.text())
            .setState(state.number())
            .build());
  }

  private List<Member> otherMembers(ViewLeaseStatus status) {
    List<Member> others = new ArrayList<>();
    status.view().ifPresent(view -> others.addAll(view.members()));
    others.remove(membership.self());
    others.removeIf(member -> membership.isRetired(member.id()));
    return others;
  }

  static StepReply reply(StepReply.Leave leave) {
    return StepReply.newBuilder().setLeave(leave).build();
  }
}
