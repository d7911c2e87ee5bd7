package org.wheatwall.core.request.decision;

import java.util.Optional;
import org.wheatwall.core.request.model.Outcome;

/**
 * The state machine that alone decides the outcome of a request. Once any byte may have been sent
 * to a runner, a failure is {@link Outcome#UNKNOWN} unless the runner itself reports that it did
 * not begin.
 */
public final class RequestLifecycle {
  /** Stages of a request. */
  public enum Stage {
    RECEIVED,
    QUEUED,
    /** Bytes of the request may have been sent to a runner. */
    SENT,
    /** Part of a response has arrived. */
    ANSWERING,
    DONE
  }

  private Stage stage = Stage.RECEIVED;
  private Outcome outcome;
  private int attempts;
  private boolean retried;

  /** Records that the request waits for a slot. */
  public void onQueued() {
    require(stage == Stage.RECEIVED);
    stage = Stage.QUEUED;
  }

  /** Records that the request left the queue unsent and has to wait for something else. */
  public void onDequeuedUnsent() {
    require(stage == Stage.QUEUED);
    stage = Stage.RECEIVED;
  }

  /**
   * Records that the request is being sent; call before the first byte is written to the network.
   */
  public void onSending() {
    require(stage == Stage.RECEIVED || stage == Stage.QUEUED);
    stage = Stage.SENT;
    attempts++;
  }

  /** Records the first byte of a response. */
  public void onFirstByte() {
    require(stage == Stage.SENT);
    stage = Stage.ANSWERING;
  }

  /** Ends the request with a complete response. */
  public void complete() {
    require(stage == Stage.SENT || stage == Stage.ANSWERING);
    finish(Outcome.ANSWERED);
  }

  /**
   * Records that the runner reported that it did not begin, or that a connection failed before any
   * byte was written. The request may be queued again.
   */
  public void onNotRun() {
    require(stage == Stage.SENT);
    stage = Stage.RECEIVED;
  }

  /** Records that a repeatable request is retried although the previous attempt may have run. */
  public void onRetry() {
    require(stage == Stage.SENT || stage == Stage.ANSWERING);
    retried = true;
    stage = Stage.RECEIVED;
  }

  /**
   * Ends the request without a response and returns the outcome; has no effect on an ended request.
   */
  public Outcome fail() {
    boolean mayHaveRun = retried || stage == Stage.SENT || stage == Stage.ANSWERING;
    if (stage != Stage.DONE) {
      finish(mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }
    return outcome;
  }

  /** Returns the stage. */
  public Stage stage() {
    return stage;
  }

  /** Returns the outcome, empty until the request has ended. */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  /** Returns how many times the request was sent to a runner. */
  public int attempts() {
    return attempts;
  }

  private void finish(Outcome result) {
    outcome = result;
    stage = Stage.DONE;
  }

  private void require(boolean allowed) {
    if (!allowed) {
      throw new IllegalStateException("not allowed in stage " + stage);
    }
  }
}
