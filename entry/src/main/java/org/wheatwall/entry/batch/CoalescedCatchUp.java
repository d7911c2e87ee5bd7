package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.batch.log.LogFollower;

/**
 * Reads to the end of the job log that are shared by concurrent callers. Callers that arrive while
 * a read is in flight share the next one: only that one is certain to see what was appended before
 * they arrived.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class CoalescedCatchUp {
  private final LogFollower follower;
  private final BatchContext context;
  private Optional<CompletableFuture<Void>> current = Optional.empty();
  private Optional<CompletableFuture<Void>> next = Optional.empty();

  CoalescedCatchUp(LogFollower follower, BatchContext context) {
    this.follower = follower;
    this.context = context;
  }

  /**
   * Completes once everything that was appended before this call is read; fails with UNAVAILABLE.
   */
  CompletableFuture<Void> catchUp() {
    if (current.isEmpty()) {
      CompletableFuture<Void> started = startCatchUp();
      current = Optional.of(started);
      started.whenCompleteAsync((done, failure) -> startNext(), context.loop());
      return started;
    }
    if (next.isEmpty()) {
      next = Optional.of(new CompletableFuture<>());
    }
    return next.get();
  }

  private CompletableFuture<Void> startCatchUp() {
    return follower
        .catchUp()
        .exceptionally(
            failure -> {
              String cause = LogFailure.of(failure).getMessage();
              throw BatchContext.unavailable("the job log cannot be read: " + cause);
            });
  }

  private void startNext() {
    current = Optional.empty();
    if (next.isEmpty()) {
      return;
    }
    CompletableFuture<Void> queued = next.get();
    next = Optional.empty();
    catchUp()
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                queued.complete(null);
              } else {
                queued.completeExceptionally(failure);
              }
            });
  }
}
