package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.wheatwall.standin.task.TaskPlan;

/**
 * What a caller has observed of one job. Updated by one thread at a time; its state may be read by
 * others meanwhile, its attempts only after the run has ended.
 */
final class ObservedJob {
  private final String id;
  private final String pathPrefix;
  private final TaskPlan plan;
  private final int tasks;
  private final List<CallResult> attempts = new ArrayList<>();
  private volatile OptionalLong acceptedAtMs = OptionalLong.empty();
  private volatile OptionalLong cancelledAtMs = OptionalLong.empty();
  private volatile boolean cancelSent;
  private volatile String lastState = "";
  private OptionalLong reportedMissingAtMs = OptionalLong.empty();

  /** Creates a job of the queue that all configurations have. */
  ObservedJob(String id, TaskPlan plan, int tasks) {
    this(id, PublishedConfigurations.JOB_PREFIX, plan, tasks);
  }

  /** Creates a job of the queue with the given path prefix. */
  ObservedJob(String id, String pathPrefix, TaskPlan plan, int tasks) {
    this.id = id;
    this.pathPrefix = pathPrefix;
    this.plan = plan;
    this.tasks = tasks;
  }

  String id() {
    return id;
  }

  /** Returns the path of the calls about this job. */
  String path() {
    return pathPrefix + id;
  }

  TaskPlan plan() {
    return plan;
  }

  int tasks() {
    return tasks;
  }

  /** Records the result of an attempt to submit the job. */
  void onSubmitResult(CallResult result) {
    attempts.add(result);
    if (result.isOk() && acceptedAtMs.isEmpty()) {
      acceptedAtMs = OptionalLong.of(result.endedAtMs());
    }
  }

  /** Records the result of a call to cancel the job. */
  void onCancelResult(CallResult result) {
    cancelSent = cancelSent || result.sent();
    if (result.isOk() && cancelledAtMs.isEmpty()) {
      cancelledAtMs = OptionalLong.of(result.endedAtMs());
    }
  }

  /** Records the result of a query for the state of the job. */
  void onStateResult(CallResult result) {
    if (result.isOk()) {
      lastState = result.reply().orElseThrow().text();
    } else if (result.isGone() && acceptedAtMs.isPresent() && reportedMissingAtMs.isEmpty()) {
      reportedMissingAtMs = OptionalLong.of(result.endedAtMs());
    }
  }

  boolean isAccepted() {
    return acceptedAtMs.isPresent();
  }

  /** Returns whether every attempt was refused, so that none of its tasks may ever run. */
  boolean isRefused() {
    return !attempts.isEmpty() && attempts.stream().allMatch(CallResult::isRefused);
  }

  /** Returns whether a cancellation may have reached a host. */
  boolean cancelSent() {
    return cancelSent;
  }

  /** Returns when its cancellation was acknowledged, milliseconds since the start of the run. */
  OptionalLong cancelledAtMs() {
    return cancelledAtMs;
  }

  boolean hasSucceeded() {
    return lastState.contains("succeeded");
  }

  boolean hasFailed() {
    return lastState.contains("failed");
  }

  /** Returns whether the last reported state is final. */
  boolean hasEnded() {
    return hasSucceeded() || hasFailed() || lastState.contains("cancelled");
  }

  /** Returns when a host first reported that the job, accepted before, does not exist. */
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
