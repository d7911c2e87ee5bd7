package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.batch.log.LogFollower;

/**
 * Readings to the end of the job log, shared by callers. Callers that come while a reading is under
 * way share the one after it: only that one is sure to see what was appended before they came.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class SharedReading {
  private final LogFollower follower;
  private final BatchTools tools;
  private Optional<CompletableFuture<Void>> current = Optional.empty();
  private Optional<CompletableFuture<Void>> following = Optional.empty();

  SharedReading(LogFollower follower, BatchTools tools) {
    this.follower = follower;
    this.tools = tools;
  }

  /** Completes once all that was appended before this call is read; fails with UNAVAILABLE. */
  CompletableFuture<Void> toEnd() {
    if (current.isEmpty()) {
      CompletableFuture<Void> now = readNow();
      current = Optional.of(now);
      now.whenCompleteAsync((done, failure) -> currentDone(), tools.loop());
      return now;
    }
    if (following.isEmpty()) {
      following = Optional.of(new CompletableFuture<>());
    }
    return following.get();
  }

  private CompletableFuture<Void> readNow() {
    return follower
        .catchUp()
        .exceptionally(
            failure -> {
              String cause = LogFailure.of(failure).getMessage();
              throw BatchTools.unavailable("the job log cannot be read: " + cause);
            });
  }

  private void currentDone() {
    current = Optional.empty();
    if (following.isEmpty()) {
      return;
    }
    CompletableFuture<Void> waiting = following.get();
    following = Optional.empty();
    toEnd()
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                waiting.complete(null);
              } else {
                waiting.completeExceptionally(failure);
              }
            });
  }
}
