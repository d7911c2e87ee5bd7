package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.request.decision.RequestLifecycle;
import org.wheatwall.core.request.decision.StepLedger.Leave;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpFailure;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;

/** Carries one request through its tries to its one outcome. */
final class CallAttempts {
  private static final String NOT_RUN_HEADER = "Wheatwall-Not-Run";
  private static final int SERVER_ERROR = 500;
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
  private final AtomicInteger asks = new AtomicInteger();
  private GrantId grant;
  private int attempts;

  /** What an attempt works with. */
  record Means(
      Clock clock,
      SlotService slots,
      StepCoordinator steps,
      HttpClient client,
      int weight,
      Meter retries) {}

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
    lifecycle.queued();
    return means
        .slots()
        .acquire(request.service(), request.workspace(), means.weight(), avoid, deadlineMs)
        .thenCompose(this::withSlot)
        .exceptionally(this::failed);
  }

  private CompletableFuture<CallResult> withSlot(Slot slot) {
    if (means.clock().nowMs() >= deadlineMs) {
      slot.giveBack(true);
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "the deadline passed before a slot came free",
              "repeat after the time in Retry-After"));
    }
    if (request.key().isEmpty()) {
      return send(slot);
    }
    return means
        .steps()
        .ask(request.key().get(), requestId, asks, request.issuedMs(), deadlineMs)
        .whenComplete(
            (decided, failure) -> {
              if (failure != null || decided.leave() != Leave.RUN) {
                slot.giveBack(true);
              }
            })
        .thenCompose(decided -> afterLeave(decided, slot));
  }

  private CompletableFuture<CallResult> afterLeave(StepCoordinator.Decided decided, Slot slot) {
    grant = decided.grant();
    return switch (decided.leave()) {
      case RUN -> send(slot);
      case KEPT ->
          CompletableFuture.completedFuture(
              decided
                  .answer()
                  .map(CallResult::kept)
                  .orElseGet(() -> unknownStep("it ran, but its answer was too large to keep")));
      case FULL ->
          CompletableFuture.failedFuture(
              new Refusal(
                  RefusalKind.UNAVAILABLE,
                  "no room for another step that may not be repeated",
                  "repeat with the same key after the time in Retry-After"));
      default ->
          CompletableFuture.completedFuture(
              unknownStep("an earlier try of this step ran or may have run"));
    };
  }

  private static CallResult unknownStep(String detail) {
    return CallResult.unknown(
        detail, "look the step up in your own records; it will not be run again");
  }

  private CompletableFuture<CallResult> send(Slot slot) {
    long remainingMs = deadlineMs - means.clock().nowMs();
    if (remainingMs <= 0) {
      slot.giveBack(true);
      endStep(StepState.RELEASED, Optional.empty());
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE, "the deadline passed before sending", "repeat later"));
    }
    lifecycle.sending();
    attempts++;
    String attemptId = requestId + "." + attempts;
    return means
        .client()
        .send(slot.address(), request.toRunner(remainingMs), attemptId, remainingMs)
        .handle((reply, failure) -> conclude(slot, reply, failure))
        .thenCompose(result -> result);
  }

  private CompletableFuture<CallResult> conclude(Slot slot, HttpReply reply, Throwable failure) {
    if (failure != null) {
      slot.giveBack(false);
      boolean notSent =
          Problems.unwrap(failure) instanceof HttpFailure lost
              && lost.kind() == HttpFailure.Kind.NOT_SENT;
      return notSent ? notRun(slot) : lost(slot, failure);
    }
    if (reply.header(NOT_RUN_HEADER).isPresent()) {
      slot.giveBack(true);
      return notRun(slot);
    }
    slot.giveBack(reply.status() < SERVER_ERROR);
    if (reply.status() >= SERVER_ERROR && request.repeatable() && mayTryAgain(slot)) {
      lifecycle.repeat();
      return run();
    }
    lifecycle.complete();
    endStep(StepState.ANSWERED, Optional.of(answer(reply)));
    return CompletableFuture.completedFuture(CallResult.answered(reply));
  }

  private CompletableFuture<CallResult> notRun(Slot slot) {
    lifecycle.provenNotRun();
    endStep(StepState.RELEASED, Optional.empty());
    if (mayTryAgain(slot)) {
      return run();
    }
    return CompletableFuture.failedFuture(
        new Refusal(
            RefusalKind.UNAVAILABLE,
            "runner " + slot.runner() + " did not take the request",
            "repeat after the time in Retry-After"));
  }

  private CompletableFuture<CallResult> lost(Slot slot, Throwable failure) {
    if (request.repeatable() && mayTryAgain(slot)) {
      lifecycle.repeat();
      return run();
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

  private void endStep(StepState state, Optional<Answer> answer) {
    request.key().ifPresent(key -> means.steps().finish(key, grant, state, answer));
  }

  private static Answer answer(HttpReply reply) {
    return new Answer(reply.status(), reply.header("Content-Type").orElse(""), reply.body());
  }
}
