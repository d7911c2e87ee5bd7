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
import org.wheatwall.core.request.decision.StepLedger.Leave;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.GrantId;
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
 * whose {@link StepAdmissionService} decides.
 */
public final class StepCoordinator {
  private static final int MAX_RETAINED_BODY_BYTES = 16 * 1024;
  private static final long CALL_TIMEOUT_MS = 1000;
  private static final long RETRY_DELAY_MS = 200;
  private static final int MAX_FINISH_ATTEMPTS = 5;

  private final List<String> zones;
  private final StepAdmissionService localService;
  private final MembershipService membership;
  private final ZoneViews remoteZones;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;

  /**
   * Creates the coordinator.
   *
   * @param ownKeeper decides on the keys that belong to this host
   */
  public StepCoordinator(
      List<String> zones,
      StepAdmissionService ownKeeper,
      MembershipService membership,
      ZoneViews remoteZones,
      PeerClient peers,
      ScheduledExecutorService timer) {
    this.zones = zones;
    this.localService = ownKeeper;
    this.membership = membership;
    this.remoteZones = remoteZones;
    this.peers = peers;
    this.timer = timer;
  }

  /**
   * What was decided about a step.
   *
   * @param response the kept answer, if {@code leave} is {@link Leave#KEPT}
   */
  record Decision(Leave admission, GrantId grant, Optional<Answer> response) {}

  /** Asks once for leave to run a step; the future never fails. */
  CompletableFuture<Decision> requestAdmission(String key, GrantId grant, Optional<Long> issuedMs) {
    return sendRequest(key, grant, issuedMs)
        .exceptionally(failure -> StepAdmissionService.reply(StepReply.Leave.REFUSED))
        .thenApply(reply -> toDecision(reply, grant));
  }

  /** Reports how a step ended to the zone that gave leave. */
  void finish(String key, GrantId grant, StepState state, Optional<Answer> answer) {
    Optional<Answer> kept = answer.filter(whole -> whole.body().length <= MAX_RETAINED_BODY_BYTES);
    StepState shown = state == StepState.ANSWERED && kept.isEmpty() ? StepState.UNKNOWN : state;
    finish(key, grant, shown, kept, MAX_FINISH_ATTEMPTS);
  }

  private CompletableFuture<StepReply> sendRequest(
      String key, GrantId grant, Optional<Long> issuedMs) {
    Optional<ZoneViews.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isEmpty()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "no member of the key's zone is known", "repeat"));
    }
    long epoch = home.get().epoch();
    if (keeper.get().equals(membership.self())) {
      return localService.decide(key, epoch, grant, issuedMs);
    }
    StepAsk.Builder ask =
        StepAsk.newBuilder()
            .setKey(key)
            .setEpoch(epoch)
            .setGrantId(grant.text())
            .setIssuedMs(issuedMs.orElse(0L));
    return peers
        .send(keeper.get().address(), Envelope.newBuilder().setStepAsk(ask), CALL_TIMEOUT_MS)
        .thenApply(Envelope::getStepReply);
  }

  private String homeZone(String key) {
    return RendezvousHash.choose("key/" + key, zones).orElseThrow();
  }

  private static Optional<Member> keeper(
      String key, List<String> memberIds, ZoneViews.EpochView entry) {
    return RendezvousHash.choose("key/" + key, memberIds).flatMap(entry.view()::member);
  }

  private void finish(
      String key, GrantId grant, StepState state, Optional<Answer> answer, int triesLeft) {
    StepFinish.Builder finish =
        StepFinish.newBuilder().setKey(key).setGrantId(grant.text()).setState(state.number());
    answer.ifPresent(whole -> finish.setAnswer(StepCodec.toMessage(whole)));
    Optional<ZoneViews.EpochView> home = remoteZones.view(homeZone(key));
    Optional<Member> keeper = home.flatMap(entry -> keeper(key, entry.view().memberIds(), entry));
    if (keeper.isPresent() && keeper.get().equals(membership.self())) {
      localService.onFinish(finish.build());
      return;
    }
    CompletableFuture<Envelope> told =
        keeper
            .map(
                member ->
                    peers.send(
                        member.address(),
                        Envelope.newBuilder().setStepFinish(finish),
                        CALL_TIMEOUT_MS))
            .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("no view")));
    told.whenComplete(
        (reply, failure) -> {
          if (failure != null && triesLeft > 1) {
            timer.schedule(
                () -> finish(key, grant, state, answer, triesLeft - 1),
                RETRY_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        });
  }

  private static Decision toDecision(StepReply reply, GrantId grant) {
    Optional<Answer> answer =
        reply.hasAnswer()
            ? Optional.of(StepCodec.fromMessage(reply.getAnswer()))
            : Optional.empty();
    Leave leave =
        switch (reply.getLeave()) {
          case RUN -> Leave.RUN;
          case KEPT -> Leave.KEPT;
          case FULL -> Leave.FULL;
          case IN_PROGRESS -> Leave.IN_PROGRESS;
          case REFUSED -> Leave.REFUSED;
          default -> Leave.UNKNOWN;
        };
    return new Decision(leave, grant, answer);
  }
}
