package org.wheatwall.entry.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Callbacks that run on a decision loop. */
public final class LoopCallbacks {
  private LoopCallbacks() {}

  /**
   * Runs {@code callback} on the loop once the future is done. If the callback throws, the loop
   * logs the failure. Otherwise it would be lost in the dependent future.
   */
  public static <T> void whenDone(
      CompletableFuture<T> future, Executor loop, BiConsumer<T, Throwable> callback) {
    future.whenComplete((result, failure) -> loop.execute(() -> callback.accept(result, failure)));
  }

  /**
   * Runs {@code callback} at once; the caller is on the loop's thread. A failure is rethrown in a
   * task of the loop, which logs it. Otherwise it would be lost in the future that runs the
   * callback.
   */
  public static void run(Executor loop, Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException failure) {
      loop.execute(
          () -> {
            throw failure;
          });
    }
  }
}
