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
import org.wheatwall.core.request.decision.StepLedger.Admission;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
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
 * Admits steps that must not run twice, for the keys that are assigned to this zone and to this
 * member of its view. A step is admitted only after every member of the view has recorded it under
 * the same epoch. Every remaining member therefore knows it, and a member with an outdated view
 * cannot admit steps.
 *
 * <p>The ledger is guarded by its own lock, which is never held during calls to other objects or
 * hosts.
 */
public final class StepAdmissionService implements MembershipListener {
  private static final int MAX_RECORDS = 40_000;

  // A third of the heap of an entry host.
  private static final long MAX_BYTES = 13_000_000;
  private static final long RECORD_TIMEOUT_MS = 500;
  private static final int MAX_PAGE_SIZE = 500;

  // Allowed difference between the wall clocks of callers and entry hosts.
  private static final long CLOCK_SKEW_MARGIN_MS = 5000;

  private final Clock clock;
  private final MembershipService membership;
  private final PeerClient peers;
  private final StepLedger ledger;
  private final Meter grants;
  private final LedgerSync ledgerSync;

  /** Creates a service with an empty ledger. */
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

  /** Evicts expired records. */
  public void tick() {
    synchronized (ledger) {
      ledger.evictExpired(clock.nowMs());
    }
  }

  /** Answers another entry host's request for admission. */
  public CompletableFuture<Envelope.Builder> onStepRequest(StepAsk request) {
    Optional<Long> issued =
        request.getIssuedMs() == 0 ? Optional.empty() : Optional.of(request.getIssuedMs());
    return decide(request.getKey(), request.getEpoch(), GrantId.parse(request.getGrantId()), issued)
        .thenApply(reply -> Envelope.newBuilder().setStepReply(reply));
  }

  /** Records a step that another member is about to admit. */
  public CompletableFuture<Envelope.Builder> onRecordRequest(StepRecordRequest request) {
    ViewLeaseStatus status = membership.status();
    StepRecordReply.Builder reply = StepRecordReply.newBuilder().setEpoch(status.epoch());
    if (request.getEpoch() == status.epoch()) {
      synchronized (ledger) {
        boolean recorded =
            ledger.recordStart(
                request.getKey(), GrantId.parse(request.getGrantId()), clock.nowMs());
        reply.setRecorded(recorded).setCoveredSinceMs(coveredSinceMs());
        if (!recorded) {
          ledger
              .find(request.getKey())
              .ifPresent(known -> reply.setKnown(StepCodec.toMessage(known, clock)));
        }
      }
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setStepRecordReply(reply));
  }

  /** Records the outcome of a step and forwards it to the other members. */
  public CompletableFuture<Envelope.Builder> onFinish(StepFinish finish) {
    Optional<RunnerResponse> response =
        finish.hasAnswer()
            ? Optional.of(StepCodec.fromMessage(finish.getAnswer()))
            : Optional.empty();
    synchronized (ledger) {
      ledger.recordOutcome(
          finish.getKey(),
          GrantId.parse(finish.getGrantId()),
          StepState.ofNumber(finish.getState()),
          response,
          clock.nowMs());
    }
    if (!finish.getPassedOn()) {
      StepFinish forwarded = finish.toBuilder().setPassedOn(true).build();
      for (Member other : otherMembers(membership.status())) {
        peers.send(
            other.address(), Envelope.newBuilder().setStepFinish(forwarded), RECORD_TIMEOUT_MS);
      }
    }
    return CompletableFuture.completedFuture(
        Envelope.newBuilder().setStepFinish(StepFinish.newBuilder().setKey(finish.getKey())));
  }

  /** Returns a page of the ledger for a new member. */
  public CompletableFuture<Envelope.Builder> onLedgerPull(LedgerPull pull) {
    LedgerPage.Builder page = LedgerPage.newBuilder().setEpoch(membership.status().epoch());
    synchronized (ledger) {
      int limit = Math.min(MAX_PAGE_SIZE, Math.max(1, pull.getLimit()));
      ledger
          .page(pull.getFrom(), limit)
          .forEach(record -> page.addEntries(StepCodec.toMessage(record, clock)));
      if (pull.getFrom() == 0) {
        for (long fingerprint : ledger.fingerprints()) {
          page.addFingerprints(fingerprint);
        }
      }
      page.setCoveredSinceMs(coveredSinceMs());
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

  /** Decides on a request of this or another host, made under a view of {@code epoch}. */
  CompletableFuture<StepReply> decide(
      String key, long epoch, GrantId grant, Optional<Long> issuedMs) {
    ViewLeaseStatus status = membership.status();
    boolean isResponsible =
        status.view().stream()
            .flatMap(view -> RendezvousHash.choose("key/" + key, view.memberIds()).stream())
            .anyMatch(membership.self().id()::equals);
    if (epoch != status.epoch() || !isResponsible || !status.mayAct(clock)) {
      return CompletableFuture.completedFuture(reply(StepReply.Leave.REFUSED));
    }
    synchronized (ledger) {
      Admission admission =
          ledger.admission(key, issuedMs, StepLedger.SINCE_BEGINNING, clock.nowMs());
      boolean isRetry =
          ledger.find(key).map(record -> grant.supersedes(record.grant())).orElse(false);
      // The reply to the requesting host's first request may have been lost, so the step is
      // recorded again on all members.
      if (admission != Admission.RUN && !(admission == Admission.IN_PROGRESS && isRetry)) {
        return CompletableFuture.completedFuture(knownReply(key, admission));
      }
      ledger.recordStart(key, grant, clock.nowMs());
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
      coverage = coveredSinceMs();
    }
    for (CompletableFuture<StepRecordReply> future : replies) {
      StepRecordReply reply = future.join();
      if (reply.hasKnown()) {
        return mergeKnown(key, grant, StepCodec.fromMessage(reply.getKnown(), clock));
      }
      if (!reply.getRecorded()) {
        return reply.getEpoch() == status.epoch() ? markUnknown(key, grant) : release(key, grant);
      }
      coverage = Math.min(coverage, reply.getCoveredSinceMs());
    }
    long coveredSinceMs = coverage;
    boolean covered =
        coverage == StepLedger.SINCE_BEGINNING
            || issuedMs.map(issued -> issued > coveredSinceMs + CLOCK_SKEW_MARGIN_MS).orElse(false);
    if (!covered) {
      return markUnknown(key, grant);
    }
    if (!membership.status().mayAct(clock) || membership.status().epoch() != status.epoch()) {
      return release(key, grant);
    }
    grants.mark();
    return reply(StepReply.Leave.RUN);
  }

  // Called with the lock of the ledger.
  private long coveredSinceMs() {
    ledger.adjustCoverage(clock.wallMs(), clock.nowMs());
    return ledger.coveredSinceMs();
  }

  private StepReply mergeKnown(String key, GrantId grant, StepRecord known) {
    synchronized (ledger) {
      ledger.recordOutcome(key, grant, StepState.RELEASED, Optional.empty(), clock.nowMs());
      ledger.merge(known);
      return knownReply(
          key, ledger.admission(key, Optional.empty(), StepLedger.SINCE_BEGINNING, clock.nowMs()));
    }
  }

  private StepReply knownReply(String key, Admission admission) {
    StepReply.Builder reply = StepReply.newBuilder();
    switch (admission) {
      case KEPT -> {
        reply.setLeave(StepReply.Leave.KEPT);
        ledger
            .find(key)
            .flatMap(StepRecord::response)
            .ifPresent(response -> reply.setAnswer(StepCodec.toMessage(response)));
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

  static StepReply reply(StepReply.Leave admission) {
    return StepReply.newBuilder().setLeave(admission).build();
  }
}
