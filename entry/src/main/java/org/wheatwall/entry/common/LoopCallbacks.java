package org.wheatwall.entry.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Callbacks that run on a decision loop. */
public final class LoopCallbacks {
  private LoopCallbacks() {}

  /**
   * Runs {@code callback} on the loop once the future is done. A callback that throws does so
   * inside the loop, which logs it; a future would keep the failure to itself.
   */
  public static <T> void whenDone(
      CompletableFuture<T> future, Executor loop, BiConsumer<T, Throwable> callback) {
    future.whenComplete((result, failure) -> loop.execute(() -> callback.accept(result, failure)));
  }

  /**
   * Runs {@code callback} now, on the loop. If it throws, that is thrown again inside the loop,
   * which logs it; the future that calls this would keep it to itself.
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
