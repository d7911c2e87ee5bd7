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

/** Runs the attempts of one request until it has its single outcome. */
final class CallAttempts {
  private static final String NOT_RUN_HEADER = "Wheatwall-Not-Run";
  private static final int SERVER_ERROR = 500;
  private static final long INITIAL_DELAY_MS = 5;
  private static final long MAX_DELAY_MS = 200;
  private static final int MAX_DOUBLINGS = 6;
  private static final String RETRY_WITH_SAME_KEY =
      "repeat with the same Idempotency-Key; the step will not run twice";
  private static final String CHECK_BEFORE_RETRY =
      "find out whether it took effect before you repeat it; name steps that may not be repeated"
          + " with Idempotency-Key";

  private final CallRequest request;
  private final String requestId;
  private final long deadlineMs;
  private final Context context;
  private final ServiceSlots service;
  private final RequestLifecycle lifecycle = new RequestLifecycle();
  private final Set<String> avoidedRunners = new HashSet<>();
  private boolean admissionFirst;
  private int admissionRequests;
  private GrantId grant;
  private int attempts;

  /**
   * What the attempts of a request depend on.
   *
   * @param delay returns a future that completes after the given number of milliseconds
   */
  record Context(
      Clock clock,
      SlotService slots,
      StepCoordinator steps,
      HttpClient client,
      int weight,
      Meter retries,
      LongFunction<CompletableFuture<Void>> delay) {}

  CallAttempts(
      CallRequest request,
      String requestId,
      long deadlineMs,
      Context context,
      ServiceSlots service) {
    this.request = request;
    this.requestId = requestId;
    this.deadlineMs = deadlineMs;
    this.context = context;
    this.service = service;
  }

  /** Runs the request. The future never fails. */
  CompletableFuture<CallResult> run() {
    return startAttempt().exceptionally(this::toFailureResult);
  }

  private CompletableFuture<CallResult> startAttempt() {
    lifecycle.onQueued();
    return admissionFirst ? admitThenAcquire() : acquireThenAdmit();
  }

  // The usual order: a step is recorded only when it is about to be sent, so that a request that
  // never gets a slot leaves no record.
  private CompletableFuture<CallResult> acquireThenAdmit() {
    return acquire()
        .thenCompose(
            slot ->
                request.key().isEmpty()
                    ? send(slot)
                    : requestAdmission()
                        .thenCompose(decision -> onAdmission(decision, Optional.of(slot))));
  }

  // Used once admission was refused or another attempt was in progress: the wait must not hold a
  // slot.
  private CompletableFuture<CallResult> admitThenAcquire() {
    return requestAdmission().thenCompose(decision -> onAdmission(decision, Optional.empty()));
  }

  private CompletableFuture<Slot> acquire() {
    return context
        .slots()
        .acquire(
            request.service(), request.workspace(), context.weight(), avoidedRunners, deadlineMs);
  }

  private CompletableFuture<StepCoordinator.Decision> requestAdmission() {
    grant = new GrantId(requestId, ++admissionRequests);
    return context.steps().requestAdmission(request.key().orElseThrow(), grant, request.issuedMs());
  }

  private CompletableFuture<CallResult> onAdmission(
      StepCoordinator.Decision decision, Optional<Slot> acquired) {
    if (decision.admission() == Admission.RUN) {
      return acquired.map(this::send).orElseGet(this::acquireAndSend);
    }
    acquired.ifPresent(slot -> slot.release(SlotOutcome.DONE));
    return switch (decision.admission()) {
      case KEPT ->
          CompletableFuture.completedFuture(
              decision
                  .response()
                  .map(CallResult::retained)
                  .orElseGet(() -> unknownStep("it ran, but its answer was too large to keep")));
      case FULL -> CompletableFuture.failedFuture(unavailable("no room for another such step"));
      case IN_PROGRESS, REFUSED -> retryAdmission(decision.admission());
      default ->
          CompletableFuture.completedFuture(
              unknownStep("an earlier try of this step ran or may have run"));
    };
  }

  private CompletableFuture<CallResult> acquireAndSend() {
    return acquire()
        .thenCompose(this::send)
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                finishStep(StepState.RELEASED, Optional.empty());
              }
            });
  }

  private CompletableFuture<CallResult> retryAdmission(Admission admission) {
    long delayMs =
        Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(admissionRequests, MAX_DOUBLINGS));
    if (context.clock().nowMs() + delayMs < deadlineMs) {
      admissionFirst = true;
      lifecycle.onDequeuedUnsent();
      return context.delay().apply(delayMs).thenCompose(elapsed -> startAttempt());
    }
    if (admission == Admission.IN_PROGRESS) {
      return CompletableFuture.completedFuture(
          unknownStep("another try of this step has not ended in time"));
    }
    // A request whose reply was lost may have been recorded; releasing it lets a retry run.
    finishStep(StepState.RELEASED, Optional.empty());
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
    long remainingMs = deadlineMs - context.clock().nowMs();
    if (remainingMs <= 0) {
      slot.release(SlotOutcome.DONE);
      finishStep(StepState.RELEASED, Optional.empty());
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE, "the deadline passed before sending", "repeat later"));
    }
    lifecycle.onSending();
    attempts++;
    String attemptId = requestId + "." + attempts;
    HttpCall call = request.toRunnerCall(remainingMs);
    if (!slot.isInOwnZone()) {
      // Connections to a runner are limited, so only entry hosts of its zone keep them open.
      call.with("Connection", "close");
    }
    return context
        .client()
        .send(slot.address(), call, attemptId, remainingMs)
        .handle((reply, failure) -> onCallDone(slot, reply, failure))
        .thenCompose(result -> result);
  }

  private CompletableFuture<CallResult> onCallDone(Slot slot, HttpReply reply, Throwable failure) {
    if (failure != null) {
      boolean notSent =
          Problems.unwrap(failure) instanceof HttpFailure httpFailure
              && httpFailure.kind() == HttpFailure.Kind.NOT_SENT;
      slot.release(notSent ? SlotOutcome.FAILED : SlotOutcome.LOST);
      return notSent ? onNotRun(slot) : onResponseLost(slot, failure);
    }
    if (reply.header(NOT_RUN_HEADER).isPresent()) {
      slot.release(SlotOutcome.DONE);
      return onNotRun(slot);
    }
    slot.release(reply.status() < SERVER_ERROR ? SlotOutcome.DONE : SlotOutcome.FAILED);
    if (reply.status() >= SERVER_ERROR && request.isRetryable() && tryStartRetry(slot)) {
      lifecycle.onRetry();
      return startAttempt();
    }
    lifecycle.complete();
    finishStep(StepState.ANSWERED, Optional.of(toRunnerResponse(reply)));
    return CompletableFuture.completedFuture(CallResult.answered(reply));
  }

  private CompletableFuture<CallResult> onNotRun(Slot slot) {
    lifecycle.onNotRun();
    finishStep(StepState.RELEASED, Optional.empty());
    if (tryStartRetry(slot)) {
      return startAttempt();
    }
    return CompletableFuture.failedFuture(
        new Refusal(
            RefusalKind.UNAVAILABLE,
            "runner " + slot.runner() + " did not take the request",
            "repeat after the time in Retry-After"));
  }

  private CompletableFuture<CallResult> onResponseLost(Slot slot, Throwable failure) {
    if (request.isRetryable() && tryStartRetry(slot)) {
      lifecycle.onRetry();
      return startAttempt();
    }
    lifecycle.fail();
    finishStep(StepState.UNKNOWN, Optional.empty());
    return CompletableFuture.completedFuture(
        CallResult.unknown(
            "no whole answer came from runner "
                + slot.runner()
                + ": "
                + Problems.unwrap(failure).getMessage(),
            request.key().isPresent() ? RETRY_WITH_SAME_KEY : CHECK_BEFORE_RETRY));
  }

  private boolean tryStartRetry(Slot slot) {
    avoidedRunners.add(slot.runner());
    boolean allowed =
        attempts < service.spec().maxAttempts()
            && context.clock().nowMs() < deadlineMs
            && service.tryAcquireRetry();
    if (allowed) {
      context.retries().mark();
    }
    return allowed;
  }

  private CallResult toFailureResult(Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    if (lifecycle.fail() == Outcome.NOT_RUN && cause instanceof Refusal refusal) {
      return CallResult.notRun(refusal, service.retryAfterSeconds());
    }
    return CallResult.unknown(
        "the request could not be finished: " + cause.getMessage(), CHECK_BEFORE_RETRY);
  }

  private void finishStep(StepState state, Optional<RunnerResponse> response) {
    request.key().ifPresent(key -> context.steps().finish(key, grant, state, response));
  }

  private static RunnerResponse toRunnerResponse(HttpReply reply) {
    return new RunnerResponse(
        reply.status(), reply.header("Content-Type").orElse(""), reply.body());
  }
}
