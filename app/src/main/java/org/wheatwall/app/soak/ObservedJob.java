package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.wheatwall.standin.task.TaskPlan;

/** What a caller knows of one job. Owned by the caller's thread until the run is over. */
final class ObservedJob {
  private final String id;
  private final TaskPlan plan;
  private final int tasks;
  private final List<CallResult> attempts = new ArrayList<>();
  private OptionalLong acceptedAtMs = OptionalLong.empty();
  private OptionalLong cancelledAtMs = OptionalLong.empty();
  private boolean cancelSent;
  private String lastState = "";
  private OptionalLong reportedMissingAtMs = OptionalLong.empty();

  ObservedJob(String id, TaskPlan plan, int tasks) {
    this.id = id;
    this.plan = plan;
    this.tasks = tasks;
  }

  String id() {
    return id;
  }

  TaskPlan plan() {
    return plan;
  }

  int tasks() {
    return tasks;
  }

  /** Notes an attempt to hand the job in. */
  void onSubmitResult(CallResult answer) {
    attempts.add(answer);
    if (answer.isOk() && acceptedAtMs.isEmpty()) {
      acceptedAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  /** Notes what became of a call to cancel the job. */
  void onCancelResult(CallResult answer) {
    cancelSent |= answer.sent();
    if (answer.isOk() && cancelledAtMs.isEmpty()) {
      cancelledAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  /** Notes a state that a host has told. */
  void onStateResult(CallResult answer) {
    if (answer.isOk()) {
      lastState = answer.reply().orElseThrow().text();
    } else if (answer.isGone() && acceptedAtMs.isPresent() && reportedMissingAtMs.isEmpty()) {
      reportedMissingAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  boolean isAccepted() {
    return acceptedAtMs.isPresent();
  }

  /** Returns whether every attempt was refused, so that nothing of it may ever run. */
  boolean isRefused() {
    return !attempts.isEmpty() && attempts.stream().allMatch(CallResult::isRefused);
  }

  /** Returns whether it may have been cancelled. */
  boolean cancelSent() {
    return cancelSent;
  }

  /** Returns when its cancellation was acknowledged. */
  OptionalLong cancelledAtMs() {
    return cancelledAtMs;
  }

  boolean hasSucceeded() {
    return lastState.contains("succeeded");
  }

  boolean hasFailed() {
    return lastState.contains("failed");
  }

  /** Returns whether the state last told is a final one. */
  boolean hasEnded() {
    return hasSucceeded() || hasFailed() || lastState.contains("cancelled");
  }

  /** Returns when a host first said that the job, accepted before, does not exist. */
  OptionalLong reportedMissingAtMs() {
    return reportedMissingAtMs;
  }

  String lastState() {
    return lastState;
  }

  List<CallResult> attempts() {
    return attempts;
  }
}
