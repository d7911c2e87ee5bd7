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
 * Requests admission to run steps that must not run twice, and reports their outcomes. Rendezvous
 * hashing assigns each key to one of the configured zones and to one member of that zone's view,
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
  private final ZoneViews zoneViews;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;

  /**
   * Creates the coordinator.
   *
   * @param localService decides on the keys that are assigned to this host
   */
  public StepCoordinator(
      List<String> zones,
      StepAdmissionService localService,
      MembershipService membership,
      ZoneViews zoneViews,
      PeerClient peers,
      ScheduledExecutorService timer) {
    this.zones = zones;
    this.localService = localService;
    this.membership = membership;
    this.zoneViews = zoneViews;
    this.peers = peers;
    this.timer = timer;
  }

  /**
   * The decision on a step.
   *
   * @param response the retained response, if {@code admission} is {@link Admission#KEPT}
   */
  record Decision(Admission admission, GrantId grant, Optional<RunnerResponse> response) {}

  /** Requests admission to run a step. The future never fails. */
  CompletableFuture<Decision> requestAdmission(String key, GrantId grant, Optional<Long> issuedMs) {
    return sendRequest(key, grant, issuedMs)
        .exceptionally(failure -> StepAdmissionService.reply(StepReply.Leave.REFUSED))
        .thenApply(reply -> toDecision(reply, grant));
  }

  /** Reports the outcome of a step to the zone that admitted it. */
  void finish(String key, GrantId grant, StepState state, Optional<RunnerResponse> response) {
    Optional<RunnerResponse> retained =
        response.filter(found -> found.body().length <= MAX_RETAINED_BODY_BYTES);
    StepState reported =
        state == StepState.ANSWERED && retained.isEmpty() ? StepState.UNKNOWN : state;
    finish(key, grant, reported, retained, MAX_FINISH_ATTEMPTS);
  }

  private CompletableFuture<StepReply> sendRequest(
      String key, GrantId grant, Optional<Long> issuedMs) {
    Optional<ZoneViews.EpochView> homeView = zoneViews.view(homeZone(key));
    Optional<Member> responsibleMember =
        homeView.flatMap(entry -> responsibleMember(key, entry.view().memberIds(), entry));
    if (responsibleMember.isEmpty()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "no member of the key's zone is known", "repeat"));
    }
    long epoch = homeView.get().epoch();
    if (responsibleMember.get().equals(membership.self())) {
      return localService.decide(key, epoch, grant, issuedMs);
    }
    StepAsk.Builder request =
        StepAsk.newBuilder()
            .setKey(key)
            .setEpoch(epoch)
            .setGrantId(grant.text())
            .setIssuedMs(issuedMs.orElse(0L));
    return peers
        .send(
            responsibleMember.get().address(),
            Envelope.newBuilder().setStepAsk(request),
            CALL_TIMEOUT_MS)
        .thenApply(Envelope::getStepReply);
  }

  private String homeZone(String key) {
    return RendezvousHash.choose("key/" + key, zones).orElseThrow();
  }

  private static Optional<Member> responsibleMember(
      String key, List<String> memberIds, ZoneViews.EpochView entry) {
    return RendezvousHash.choose("key/" + key, memberIds).flatMap(entry.view()::member);
  }

  private void finish(
      String key,
      GrantId grant,
      StepState state,
      Optional<RunnerResponse> response,
      int attemptsLeft) {
    StepFinish.Builder finish =
        StepFinish.newBuilder().setKey(key).setGrantId(grant.text()).setState(state.number());
    response.ifPresent(found -> finish.setAnswer(StepCodec.toMessage(found)));
    Optional<ZoneViews.EpochView> homeView = zoneViews.view(homeZone(key));
    Optional<Member> responsibleMember =
        homeView.flatMap(entry -> responsibleMember(key, entry.view().memberIds(), entry));
    if (responsibleMember.isPresent() && responsibleMember.get().equals(membership.self())) {
      localService.onFinish(finish.build());
      return;
    }
    CompletableFuture<Envelope> sent =
        responsibleMember
            .map(
                member ->
                    peers.send(
                        member.address(),
                        Envelope.newBuilder().setStepFinish(finish),
                        CALL_TIMEOUT_MS))
            .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("no view")));
    sent.whenComplete(
        (reply, failure) -> {
          if (failure != null && attemptsLeft > 1) {
            timer.schedule(
                () -> finish(key, grant, state, response, attemptsLeft - 1),
                RETRY_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        });
  }

  private static Decision toDecision(StepReply reply, GrantId grant) {
    Optional<RunnerResponse> response =
        reply.hasAnswer()
            ? Optional.of(StepCodec.fromMessage(reply.getAnswer()))
            : Optional.empty();
    Admission admission =
        switch (reply.getLeave()) {
          case RUN -> Admission.RUN;
          case KEPT -> Admission.KEPT;
          case FULL -> Admission.FULL;
          case IN_PROGRESS -> Admission.IN_PROGRESS;
          case REFUSED -> Admission.REFUSED;
          default -> Admission.UNKNOWN;
        };
    return new Decision(admission, grant, response);
  }
}
