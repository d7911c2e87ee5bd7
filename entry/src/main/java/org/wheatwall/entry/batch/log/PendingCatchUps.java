package org.wheatwall.entry.batch.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.LoopTimer;

/**
 * Requests that wait until a follower has processed the log up to an offset.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class PendingCatchUps {
  private final String logName;
  private final LoopTimer timer;
  private final List<CatchUp> pending = new ArrayList<>();

  private record CatchUp(long end, CompletableFuture<Void> result) {}

  PendingCatchUps(String logName, LoopTimer timer) {
    this.logName = logName;
    this.timer = timer;
  }

  /**
   * Completes once records before {@code end} are processed; fails with {@link LogFailure} if they
   * are not within {@code limitMs}.
   */
  CompletableFuture<Void> await(long end, long limitMs) {
    CatchUp catchUp = new CatchUp(end, new CompletableFuture<>());
    pending.add(catchUp);
    timer.after(limitMs, () -> expire(catchUp));
    return catchUp.result();
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Completes the requests that wait for nothing at or after {@code position}. */
  void advanceTo(long position) {
    List<CatchUp> reached = pending.stream().filter(item -> item.end() <= position).toList();
    pending.removeAll(reached);
    reached.forEach(item -> item.result().complete(null));
  }

  private void expire(CatchUp catchUp) {
    if (pending.remove(catchUp)) {
      catchUp
          .result()
          .completeExceptionally(
              new LogFailure(LogFailure.Kind.NOT_DONE, logName + " is being read"));
    }
  }
}
