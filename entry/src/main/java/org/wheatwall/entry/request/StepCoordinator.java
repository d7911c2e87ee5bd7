package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
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
 * Gives leave to run steps that may not be repeated. A key belongs to one zone by hashing over the
 * configured zones, and within the zone to one member of the view. That member gives leave only
 * after every member of the view has recorded it under the same epoch, so any member that remains
 * knows of it, and a member whose view is out of date cannot give leave at all.
 *
 * <p>The ledger is guarded by its own lock, which is never held while calling out.
 */
public final class StepCoordinator implements MembershipListener {
  private static final int MAX_RECORDS = 40_000;

  // A third of the heap of an entry host.
  private static final long MAX_BYTES = 13_000_000;
  private static final int MAX_KEPT_BODY = 16 * 1024;
  private static final long RECORD_TIMEOUT_MS = 500;
  private static final long ASK_TIMEOUT_MS = 1000;
  private static final long RETRY_PAUSE_MS = 200;
  private static final int FINISH_TRIES = 5;
  private static final int PAGE = 500;

  // Callers' clocks may differ from ours by this much.
  private static final long CLOCK_MARGIN_MS = 5000;

  private final Clock clock;
  private final List<String> zones;
  private final MembershipService membership;
  private final RemoteZones remoteZones;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;
  private final StepLedger ledger;
  private final Meter granted;
  private final LedgerSync sync;

  /** Creates the coordinator. */
  public StepCoordinator(
      Clock clock,
      List<String> zones,
      long keepAnswersMs,
      long maxDeadlineMs,
      MembershipService membership,
      RemoteZones remoteZones,
      PeerClient peers,
      ScheduledExecutorService timer,
      MetricRegistry metrics) {
    this.clock = clock;
    this.zones = zones;
    this.membership = membership;
    this.remoteZones = remoteZones;
    this.peers = peers;
    this.timer = timer;
    this.ledger = new StepLedger(keepAnswersMs, maxDeadlineMs, MAX_RECORDS, MAX_BYTES);
    this.sync = new LedgerSync(ledger, membership, peers, timer, clock);
    this.granted = metrics.meter("steps.leave-given");
    metrics.gauge("steps.records", () -> this::recordCount);
  }

  /**
   * What was decided about a step.
   *
   * @param answer the kept answer, if {@code leave} is {@link Leave#KEPT}
   */
  record Decided(Leave leave, GrantId grant, Optional<Answer> answer) {}

  /** Returns the number of records held. */
  public int recordCount() {
    synchronized (ledger) {
      return ledger.size();
    }
  }

  /** Asks once for leave to run a step; the future never fails. */
  CompletableFuture<Decided> ask(String key, GrantId grant, Optional<Long> issuedMs) {
    return askOnce(key, grant, issuedMs)
        .exceptionally(failure -> reply(StepReply.Leave.REFUSED))
        .thenApply(reply -> decided(reply, grant));
  }

  /** Reports how a step ended to the zone that gave leave. */
  void finish(String key, GrantId grant, StepState state, Optional<Answer> answer) {
    Optional<Answer> kept = answer.filter(whole -> whole.body().length <= MAX_KEPT_BODY);
    StepState shown = state == StepState.ANSWERED && kept.isEmpty() ? StepState.UNKNOWN : state;
    finish(key, grant, shown, kept, FINISH_TRIES);
  }

  /** Forgets what is old. */
  public void tick() {
    synchronized (ledger) {
      ledger.forget(clock.wallMs());
    }
  }

  /** Answers another entry host that asks for leave. */
  public CompletableFuture<Envelope.Builder> onAsk(StepAsk ask) {
    Optional<Long> issued =
        ask.getIssuedMs() == 0 ? Optional.empty() : Optional.of(ask.getIssuedMs());
    return decide(ask.getKey(), ask.getEpoch(), GrantId.parse(ask.getGrantId()), issued)
        .thenApply(reply -> Envelope.newBuilder().setStepReply(reply));
  }

  /** Records leave that another member is giving. */
  public CompletableFuture<Envelope.Builder> onRecord(StepRecordRequest request) {
    ViewLeaseStatus status = membership.status();
    StepRecordReply.Builder reply = StepRecordReply.newBuilder().setEpoch(status.epoch());
    if (request.getEpoch() == status.epoch()) {
      synchronized (ledger) {
        boolean recorded =
            ledger.start(request.getKey(), GrantId.parse(request.getGrantId()), clock.wallMs());
        reply.setRecorded(recorded).setCoveredSinceMs(ledger.coveredSinceMs());
        if (!recorded) {
          ledger.find(request.getKey()).ifPresent(known -> reply.setKnown(StepCodec.write(known)));
        }
      }
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setStepRecordReply(reply));
  }

  /** Takes in how a step ended, and passes it on to the other members. */
  public CompletableFuture<Envelope.Builder> onFinish(StepFinish finish) {
    Optional<Answer> answer =
        finish.hasAnswer() ? Optional.of(StepCodec.read(finish.getAnswer())) : Optional.empty();
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
  public CompletableFuture<Envelope.Builder> onPull(LedgerPull pull) {
    LedgerPage.Builder page = LedgerPage.newBuilder().setEpoch(membership.status().epoch());
    synchronized (ledger) {
      int limit = Math.min(PAGE, Math.max(1, pull.getLimit()));
      ledger
          .page(pull.getFrom(), limit)
          .forEach(record -> page.addEntries(StepCodec.write(record)));
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
  public void epochChanged(ViewLeaseStatus status) {
    sync.epochChanged(status);
  }

  @Override
  public void memberReplied(String memberId, HeartbeatReply reply) {}

  @Override
  public void memberRetired(String memberId) {}

  private CompletableFuture<StepReply> askOnce(String key, GrantId grant, Optional<Long> issuedMs) {
    Optional<RemoteZones.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isEmpty()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "no member of the key's zone is known", "repeat"));
    }
    long epoch = home.get().epoch();
    if (keeper.get().equals(membership.self())) {
      return decide(key, epoch, grant, issuedMs);
    }
    StepAsk.Builder ask =
        StepAsk.newBuilder()
            .setKey(key)
            .setEpoch(epoch)
            .setGrantId(grant.text())
            .setIssuedMs(issuedMs.orElse(0L));
    return peers
        .send(keeper.get().address(), Envelope.newBuilder().setStepAsk(ask), ASK_TIMEOUT_MS)
        .thenApply(Envelope::getStepReply);
  }

  private String homeZone(String key) {
    return RendezvousHash.choose("key/" + key, zones).orElseThrow();
  }

  private static Optional<Member> keeper(
      String key, List<String> memberIds, RemoteZones.EpochView entry) {
    return RendezvousHash.choose("key/" + key, memberIds).flatMap(entry.view()::member);
  }

  private CompletableFuture<StepReply> decide(
      String key, long epoch, GrantId grant, Optional<Long> issuedMs) {
    ViewLeaseStatus status = membership.status();
    boolean keeper =
        status.view().stream()
            .flatMap(view -> RendezvousHash.choose("key/" + key, view.memberIds()).stream())
            .anyMatch(membership.self().id()::equals);
    if (epoch != status.epoch() || !keeper || !status.mayAct(clock.nowMs())) {
      return CompletableFuture.completedFuture(reply(StepReply.Leave.REFUSED));
    }
    synchronized (ledger) {
      Leave leave = ledger.judge(key, issuedMs, StepLedger.SINCE_EVER, clock.wallMs());
      boolean repeatedAsk =
          ledger.find(key).map(record -> grant.supersedes(record.grant())).orElse(false);
      // The reply to an asker's first ask may have been lost; it is recorded everywhere again.
      if (leave != Leave.RUN && !(leave == Leave.IN_PROGRESS && repeatedAsk)) {
        return CompletableFuture.completedFuture(known(key, leave));
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
                    ? conclude(key, grant, issuedMs, status, replies)
                    : release(key, grant));
  }

  private StepReply conclude(
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
        return adoptKnown(key, grant, StepCodec.read(reply.getKnown()));
      }
      if (!reply.getRecorded()) {
        return reply.getEpoch() == status.epoch() ? endUnknown(key, grant) : release(key, grant);
      }
      coverage = Math.min(coverage, reply.getCoveredSinceMs());
    }
    long since = coverage;
    boolean covered =
        coverage == StepLedger.SINCE_EVER
            || issuedMs.map(issued -> issued > since + CLOCK_MARGIN_MS).orElse(false);
    if (!covered) {
      return endUnknown(key, grant);
    }
    if (!membership.status().mayAct(clock.nowMs())
        || membership.status().epoch() != status.epoch()) {
      return release(key, grant);
    }
    granted.mark();
    return reply(StepReply.Leave.RUN);
  }

  private StepReply adoptKnown(String key, GrantId grant, StepRecord known) {
    synchronized (ledger) {
      ledger.finish(key, grant, StepState.RELEASED, Optional.empty(), clock.wallMs());
      ledger.merge(known);
      return known(key, ledger.judge(key, Optional.empty(), StepLedger.SINCE_EVER, clock.wallMs()));
    }
  }

  private StepReply known(String key, Leave leave) {
    StepReply.Builder reply = StepReply.newBuilder();
    switch (leave) {
      case KEPT -> {
        reply.setLeave(StepReply.Leave.KEPT);
        ledger
            .find(key)
            .flatMap(StepRecord::answer)
            .ifPresent(answer -> reply.setAnswer(StepCodec.write(answer)));
      }
      case IN_PROGRESS -> reply.setLeave(StepReply.Leave.IN_PROGRESS);
      case FULL -> reply.setLeave(StepReply.Leave.FULL);
      default -> reply.setLeave(StepReply.Leave.UNKNOWN);
    }
    return reply.build();
  }

  private StepReply release(String key, GrantId grant) {
    spread(key, grant, StepState.RELEASED);
    return reply(StepReply.Leave.REFUSED);
  }

  private StepReply endUnknown(String key, GrantId grant) {
    spread(key, grant, StepState.UNKNOWN);
    return reply(StepReply.Leave.UNKNOWN);
  }

  private void spread(String key, GrantId grant, StepState state) {
    onFinish(
        StepFinish.newBuilder()
            .setKey(key)
            .setGrantId(grant.text())
            .setState(state.number())
            .build());
  }

  private void finish(
      String key, GrantId grant, StepState state, Optional<Answer> answer, int triesLeft) {
    StepFinish.Builder finish =
        StepFinish.newBuilder().setKey(key).setGrantId(grant.text()).setState(state.number());
    answer.ifPresent(whole -> finish.setAnswer(StepCodec.write(whole)));
    Optional<RemoteZones.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isPresent() && keeper.get().equals(membership.self())) {
      onFinish(finish.build());
      return;
    }
    CompletableFuture<Envelope> told =
        keeper
            .map(
                member ->
                    peers.send(
                        member.address(),
                        Envelope.newBuilder().setStepFinish(finish),
                        ASK_TIMEOUT_MS))
            .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("no view")));
    told.whenComplete(
        (reply, failure) -> {
          if (failure != null && triesLeft > 1) {
            timer.schedule(
                () -> finish(key, grant, state, answer, triesLeft - 1),
                RETRY_PAUSE_MS,
                TimeUnit.MILLISECONDS);
          }
        });
  }

  private List<Member> otherMembers(ViewLeaseStatus status) {
    List<Member> others = new ArrayList<>();
    status.view().ifPresent(view -> others.addAll(view.members()));
    others.remove(membership.self());
    others.removeIf(member -> membership.isRetired(member.id()));
    return others;
  }

  private static StepReply reply(StepReply.Leave leave) {
    return StepReply.newBuilder().setLeave(leave).build();
  }

  private static Decided decided(StepReply reply, GrantId grant) {
    Optional<Answer> answer =
        reply.hasAnswer() ? Optional.of(StepCodec.read(reply.getAnswer())) : Optional.empty();
    Leave leave =
        switch (reply.getLeave()) {
          case RUN -> Leave.RUN;
          case KEPT -> Leave.KEPT;
          case FULL -> Leave.FULL;
          case IN_PROGRESS -> Leave.IN_PROGRESS;
          case REFUSED -> Leave.REFUSED;
          default -> Leave.UNKNOWN;
        };
    return new Decided(leave, grant, answer);
  }
}
