package org.wheatwall.entry.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.request.decision.StepLedger.Admission;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.StepAsk;
import org.wheatwall.wire.message.StepFinish;
import org.wheatwall.wire.message.StepReply;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Asks for leave to run steps that may not be repeated, and reports how they ended. A key belongs
 * to one zone by hashing over the configured zones, and within the zone to one member of the view,
 * whose {@link StepKeeper} decides.
 */
public final class StepCoordinator {
  private static final int MAX_KEPT_BODY = 16 * 1024;
  private static final long ASK_TIMEOUT_MS = 1000;
  private static final long RETRY_PAUSE_MS = 200;
  private static final int FINISH_TRIES = 5;

  private final List<String> zones;
  private final StepKeeper ownKeeper;
  private final MembershipService membership;
  private final RemoteZones remoteZones;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;

  /**
   * Creates the coordinator.
   *
   * @param ownKeeper decides on the keys that belong to this host
   */
  public StepCoordinator(
      List<String> zones,
      StepKeeper ownKeeper,
      MembershipService membership,
      RemoteZones remoteZones,
      PeerClient peers,
      ScheduledExecutorService timer) {
    this.zones = zones;
    this.ownKeeper = ownKeeper;
    this.membership = membership;
    this.remoteZones = remoteZones;
    this.peers = peers;
    this.timer = timer;
  }

  /**
   * What was decided about a step.
   *
   * @param answer the kept answer, if {@code leave} is {@link Admission#KEPT}
   */
  record Decided(Admission leave, GrantId grant, Optional<RunnerResponse> answer) {}

  /** Asks once for leave to run a step; the future never fails. */
  CompletableFuture<Decided> ask(String key, GrantId grant, Optional<Long> issuedMs) {
    return askOnce(key, grant, issuedMs)
        .exceptionally(failure -> StepKeeper.reply(StepReply.Leave.REFUSED))
        .thenApply(reply -> decided(reply, grant));
  }

  /** Reports how a step ended to the zone that gave leave. */
  void finish(String key, GrantId grant, StepState state, Optional<RunnerResponse> answer) {
    Optional<RunnerResponse> kept = answer.filter(whole -> whole.body().length <= MAX_KEPT_BODY);
    StepState shown = state == StepState.ANSWERED && kept.isEmpty() ? StepState.UNKNOWN : state;
    finish(key, grant, shown, kept, FINISH_TRIES);
  }

  private CompletableFuture<StepReply> askOnce(String key, GrantId grant, Optional<Long> issuedMs) {
    Optional<RemoteZones.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isEmpty()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "no member of the key's zone is known", "repeat"));
    }
    long epoch = home.get().epoch();
    if (keeper.get().equals(membership.self())) {
      return ownKeeper.decide(key, epoch, grant, issuedMs);
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

  private void finish(
      String key, GrantId grant, StepState state, Optional<RunnerResponse> answer, int triesLeft) {
    StepFinish.Builder finish =
        StepFinish.newBuilder().setKey(key).setGrantId(grant.text()).setState(state.number());
    answer.ifPresent(whole -> finish.setAnswer(StepCodec.write(whole)));
    Optional<RemoteZones.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isPresent() && keeper.get().equals(membership.self())) {
      ownKeeper.onFinish(finish.build());
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

  private static Decided decided(StepReply reply, GrantId grant) {
    Optional<RunnerResponse> answer =
        reply.hasAnswer() ? Optional.of(StepCodec.read(reply.getAnswer())) : Optional.empty();
    Admission leave =
        switch (reply.getLeave()) {
          case RUN -> Admission.RUN;
          case KEPT -> Admission.KEPT;
          case FULL -> Admission.FULL;
          case IN_PROGRESS -> Admission.IN_PROGRESS;
          case REFUSED -> Admission.REFUSED;
          default -> Admission.UNKNOWN;
        };
    return new Decided(leave, grant, answer);
  }
}
