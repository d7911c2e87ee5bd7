package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.request.decision.RequestLifecycle;
import org.wheatwall.core.request.decision.StepLedger.Admission;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpFailure;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;

/** Carries one request through its tries to its one outcome. */
final class CallAttempts {
  private static final String NOT_RUN_HEADER = "Wheatwall-Not-Run";
  private static final int SERVER_ERROR = 500;
  private static final long FIRST_PAUSE_MS = 5;
  private static final long LONGEST_PAUSE_MS = 200;
  private static final int MAX_DOUBLINGS = 6;
  private static final String REPEAT_SAME_KEY =
      "repeat with the same Idempotency-Key; the step will not run twice";
  private static final String CHECK_FIRST =
      "find out whether it took effect before you repeat it; name steps that may not be repeated"
          + " with Idempotency-Key";

  private final CallRequest request;
  private final String requestId;
  private final long deadlineMs;
  private final Means means;
  private final ServiceSlots service;
  private final RequestLifecycle lifecycle = new RequestLifecycle();
  private final Set<String> avoid = new HashSet<>();
  private boolean leaveFirst;
  private int asks;
  private GrantId grant;
  private int attempts;

  /**
   * What an attempt works with.
   *
   * @param pause completes after a time in milliseconds
   */
  record Means(
      Clock clock,
      SlotService slots,
      StepCoordinator steps,
      HttpClient client,
      int weight,
      Meter retries,
      LongFunction<CompletableFuture<Void>> pause) {}

  CallAttempts(
      CallRequest request, String requestId, long deadlineMs, Means means, ServiceSlots service) {
    this.request = request;
    this.requestId = requestId;
    this.deadlineMs = deadlineMs;
    this.means = means;
    this.service = service;
  }

  /** Runs the request; the future never fails. */
  CompletableFuture<CallResult> run() {
    return attempt().exceptionally(this::failed);
  }

  private CompletableFuture<CallResult> attempt() {
    lifecycle.onQueued();
    return leaveFirst ? leaveThenSlot() : slotThenLeave();
  }

  // The usual order: a step is recorded only when it is about to leave, so that a request that
  // never gets a slot leaves no trace.
  private CompletableFuture<CallResult> slotThenLeave() {
    return acquire()
        .thenCompose(
            slot ->
                request.key().isEmpty()
                    ? send(slot)
                    : askLeave().thenCompose(decided -> afterLeave(decided, Optional.of(slot))));
  }

  // After another try was found under way: waiting for it must not hold a slot.
  private CompletableFuture<CallResult> leaveThenSlot() {
    return askLeave().thenCompose(decided -> afterLeave(decided, Optional.empty()));
  }

  private CompletableFuture<Slot> acquire() {
    return means
        .slots()
        .acquire(request.service(), request.workspace(), means.weight(), avoid, deadlineMs);
  }

  private CompletableFuture<StepCoordinator.Decided> askLeave() {
    grant = new GrantId(requestId, ++asks);
    return means.steps().ask(request.key().orElseThrow(), grant, request.issuedMs());
  }

  private CompletableFuture<CallResult> afterLeave(
      StepCoordinator.Decided decided, Optional<Slot> held) {
    if (decided.leave() == Admission.RUN) {
      return held.map(this::send).orElseGet(this::slotWithLeave);
    }
    held.ifPresent(slot -> slot.giveBack(SlotEnd.DONE));
    return switch (decided.leave()) {
      case KEPT ->
          CompletableFuture.completedFuture(
              decided
                  .answer()
                  .map(CallResult::kept)
                  .orElseGet(() -> unknownStep("it ran, but its answer was too large to keep")));
      case FULL -> CompletableFuture.failedFuture(unavailable("no room for another such step"));
      case IN_PROGRESS, REFUSED -> askAgain(decided.leave());
      default ->
          CompletableFuture.completedFuture(
              unknownStep("an earlier try of this step ran or may have run"));
    };
  }

  private CompletableFuture<CallResult> slotWithLeave() {
    return acquire()
        .thenCompose(this::send)
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                endStep(StepState.RELEASED, Optional.empty());
              }
            });
  }

  private CompletableFuture<CallResult> askAgain(Admission leave) {
    long pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(asks, MAX_DOUBLINGS));
    if (means.clock().nowMs() + pauseMs < deadlineMs) {
      leaveFirst = true;
      lifecycle.onDequeuedUnsent();
      return means.pause().apply(pauseMs).thenCompose(waited -> attempt());
    }
    if (leave == Admission.IN_PROGRESS) {
      return CompletableFuture.completedFuture(
          unknownStep("another try of this step has not ended in time"));
    }
    // An ask whose reply was lost may have been recorded; releasing it lets a repeat run.
    endStep(StepState.RELEASED, Optional.empty());
    return CompletableFuture.failedFuture(
        unavailable("the zone that keeps this key cannot be reached or changes members"));
  }

  private static Refusal unavailable(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE, detail, "repeat with the same key after the time in Retry-After");
  }

  private static CallResult unknownStep(String detail) {
    return CallResult.unknown(
        detail, "look the step up in your own records; it will not be run again");
  }

  private CompletableFuture<CallResult> send(Slot slot) {
    long remainingMs = deadlineMs - means.clock().nowMs();
    if (remainingMs <= 0) {
      slot.giveBack(SlotEnd.DONE);
      endStep(StepState.RELEASED, Optional.empty());
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE, "the deadline passed before sending", "repeat later"));
    }
    lifecycle.onSending();
    attempts++;
    String attemptId = requestId + "." + attempts;
    HttpCall call = request.toRunner(remainingMs);
    if (!slot.ofOwnZone()) {
      // Only a zone's own hosts keep connections to its runners: their number is bounded.
      call.with("Connection", "close");
    }
    return means
        .client()
        .send(slot.address(), call, attemptId, remainingMs)
        .handle((reply, failure) -> conclude(slot, reply, failure))
        .thenCompose(result -> result);
  }

  private CompletableFuture<CallResult> conclude(Slot slot, HttpReply reply, Throwable failure) {
    if (failure != null) {
      boolean notSent =
          Problems.unwrap(failure) instanceof HttpFailure lost
              && lost.kind() == HttpFailure.Kind.NOT_SENT;
      slot.giveBack(notSent ? SlotEnd.FAILED : SlotEnd.LOST);
      return notSent ? notRun(slot) : lost(slot, failure);
    }
    if (reply.header(NOT_RUN_HEADER).isPresent()) {
      slot.giveBack(SlotEnd.DONE);
      return notRun(slot);
    }
    slot.giveBack(reply.status() < SERVER_ERROR ? SlotEnd.DONE : SlotEnd.FAILED);
    if (reply.status() >= SERVER_ERROR && request.repeatable() && mayTryAgain(slot)) {
      lifecycle.onRetry();
      return attempt();
    }
    lifecycle.complete();
    endStep(StepState.ANSWERED, Optional.of(answer(reply)));
    return CompletableFuture.completedFuture(CallResult.answered(reply));
  }

  private CompletableFuture<CallResult> notRun(Slot slot) {
    lifecycle.onNotRun();
    endStep(StepState.RELEASED, Optional.empty());
    if (mayTryAgain(slot)) {
      return attempt();
    }
    return CompletableFuture.failedFuture(
        new Refusal(
            RefusalKind.UNAVAILABLE,
            "runner " + slot.runner() + " did not take the request",
            "repeat after the time in Retry-After"));
  }

  private CompletableFuture<CallResult> lost(Slot slot, Throwable failure) {
    if (request.repeatable() && mayTryAgain(slot)) {
      lifecycle.onRetry();
      return attempt();
    }
    lifecycle.fail();
    endStep(StepState.UNKNOWN, Optional.empty());
    return CompletableFuture.completedFuture(
        CallResult.unknown(
            "no whole answer came from runner "
                + slot.runner()
                + ": "
                + Problems.unwrap(failure).getMessage(),
            request.key().isPresent() ? REPEAT_SAME_KEY : CHECK_FIRST));
  }

  private boolean mayTryAgain(Slot slot) {
    avoid.add(slot.runner());
    boolean allowed =
        attempts < service.spec().maxAttempts()
            && means.clock().nowMs() < deadlineMs
            && service.tryRetry();
    if (allowed) {
      means.retries().mark();
    }
    return allowed;
  }

  private CallResult failed(Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    if (lifecycle.fail() == Outcome.NOT_RUN && cause instanceof Refusal refusal) {
      return CallResult.notRun(refusal, service.retryAfterSeconds());
    }
    return CallResult.unknown(
        "the request could not be finished: " + cause.getMessage(), CHECK_FIRST);
  }

  private void endStep(StepState state, Optional<RunnerResponse> answer) {
    request.key().ifPresent(key -> means.steps().finish(key, grant, state, answer));
  }

  private static RunnerResponse answer(HttpReply reply) {
    return new RunnerResponse(
        reply.status(), reply.header("Content-Type").orElse(""), reply.body());
  }
}
