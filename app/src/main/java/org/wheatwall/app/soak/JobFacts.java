package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.wheatwall.standin.task.TaskPlan;

/** What a caller knows of one job. Owned by the caller's thread until the run is over. */
final class JobFacts {
  private final String id;
  private final TaskPlan plan;
  private final int tasks;
  private final List<CallerAnswer> attempts = new ArrayList<>();
  private OptionalLong acceptedAtMs = OptionalLong.empty();
  private OptionalLong cancelledAtMs = OptionalLong.empty();
  private boolean cancelSent;
  private String lastState = "";
  private OptionalLong saidGoneAtMs = OptionalLong.empty();

  JobFacts(String id, TaskPlan plan, int tasks) {
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
  void attempted(CallerAnswer answer) {
    attempts.add(answer);
    if (answer.done() && acceptedAtMs.isEmpty()) {
      acceptedAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  /** Notes what became of a call to cancel the job. */
  void cancelAsked(CallerAnswer answer) {
    cancelSent |= answer.sent();
    if (answer.done() && cancelledAtMs.isEmpty()) {
      cancelledAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  /** Notes a state that a host has told. */
  void told(CallerAnswer answer) {
    if (answer.done()) {
      lastState = answer.reply().orElseThrow().text();
    } else if (answer.gone() && acceptedAtMs.isPresent() && saidGoneAtMs.isEmpty()) {
      saidGoneAtMs = OptionalLong.of(answer.endedAtMs());
    }
  }

  boolean accepted() {
    return acceptedAtMs.isPresent();
  }

  /** Returns whether every attempt was refused, so that nothing of it may ever run. */
  boolean refused() {
    return !attempts.isEmpty() && attempts.stream().allMatch(CallerAnswer::refused);
  }

  /** Returns whether it may have been cancelled. */
  boolean cancelSent() {
    return cancelSent;
  }

  /** Returns when its cancellation was acknowledged. */
  OptionalLong cancelledAtMs() {
    return cancelledAtMs;
  }

  boolean succeeded() {
    return lastState.contains("succeeded");
  }

  boolean failed() {
    return lastState.contains("failed");
  }

  /** Returns whether the state last told is a final one. */
  boolean ended() {
    return succeeded() || failed() || lastState.contains("cancelled");
  }

  /** Returns when a host first said that the job, accepted before, does not exist. */
  OptionalLong saidGoneAtMs() {
    return saidGoneAtMs;
  }

  String lastState() {
    return lastState;
  }

  List<CallerAnswer> attempts() {
    return attempts;
  }
}
