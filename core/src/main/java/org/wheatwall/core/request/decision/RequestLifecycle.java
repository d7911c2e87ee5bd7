package org.wheatwall.core.request.decision;

import java.util.Optional;
import org.wheatwall.core.request.model.Outcome;

/**
 * The one place that decides the outcome of a request. Once any byte may have left for a runner, a
 * failure is {@link Outcome#UNKNOWN} unless the runner itself says that it did not begin.
 */
public final class RequestLifecycle {
  /** Stages of a request. */
  public enum Stage {
    RECEIVED,
    QUEUED,
    /** Bytes of the request may have left for a runner. */
    SENT,
    /** Part of an answer has arrived. */
    ANSWERING,
    DONE
  }

  private Stage stage = Stage.RECEIVED;
  private Outcome outcome;
  private int attempts;
  private boolean retried;

  /** Notes that the request waits for a slot. */
  public void onQueued() {
    require(stage == Stage.RECEIVED);
    stage = Stage.QUEUED;
  }

  /** Notes that the request, still unsent, goes back to wait for something else. */
  public void onDequeuedUnsent() {
    require(stage == Stage.QUEUED);
    stage = Stage.RECEIVED;
  }

  /** Notes, before the first byte is handed to the network, that the request leaves. */
  public void onSending() {
    require(stage == Stage.RECEIVED || stage == Stage.QUEUED);
    stage = Stage.SENT;
    attempts++;
  }

  /** Notes the first byte of an answer. */
  public void onFirstByte() {
    require(stage == Stage.SENT);
    stage = Stage.ANSWERING;
  }

  /** Ends the request with the whole answer. */
  public void complete() {
    require(stage == Stage.SENT || stage == Stage.ANSWERING);
    finish(Outcome.ANSWERED);
  }

  /**
   * Notes that the runner said it did not begin, or that a connection failed before any byte was
   * handed over. The request may be queued again.
   */
  public void onNotRun() {
    require(stage == Stage.SENT);
    stage = Stage.RECEIVED;
  }

  /** Notes that a repeatable request is tried again although the last try may have run. */
  public void onRetry() {
    require(stage == Stage.SENT || stage == Stage.ANSWERING);
    retried = true;
    stage = Stage.RECEIVED;
  }

  /** Ends the request without an answer. */
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

  /** Returns the outcome, empty until the request is done. */
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
