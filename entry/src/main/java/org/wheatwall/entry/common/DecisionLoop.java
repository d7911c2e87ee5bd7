package org.wheatwall.entry.common;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadFactory;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The single writer of a plane's state: one thread behind a Disruptor ring. */
public final class DecisionLoop implements LoopExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
  private static final int RING_SIZE = 1024;

  private final Disruptor<TaskHolder> disruptor;
  private final Deque<Runnable> loopTasks = new ArrayDeque<>();
  private final Queue<Runnable> urgentTasks = new ConcurrentLinkedQueue<>();
  private volatile Thread thread;

  private static final class TaskHolder {
    private Runnable task;

    private void run() {
      Runnable current = task;
      task = null;
      current.run();
    }
  }

  /** Creates a loop that runs on one thread of {@code threads} once started. */
  public DecisionLoop(ThreadFactory threads) {
    disruptor =
        new Disruptor<>(
            TaskHolder::new, RING_SIZE, threads, ProducerType.MULTI, new BlockingWaitStrategy());
    disruptor.handleEventsWith((holder, sequence, endOfBatch) -> handle(holder));
    disruptor.setDefaultExceptionHandler(new FailureLogger());
  }

  private void handle(TaskHolder holder) {
    thread = Thread.currentThread();
    runUrgentTasks();
    runLogged(holder::run);
    runUrgentTasks();
    while (!loopTasks.isEmpty()) {
      runLogged(loopTasks.poll());
      runUrgentTasks();
    }
  }

  @Override
  public void runUrgentTasks() {
    for (Runnable task = urgentTasks.poll(); task != null; task = urgentTasks.poll()) {
      runLogged(task);
    }
  }

  // A failed task must not stop the loop. Failures are bugs, so they are logged with stack trace.
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      LOG.error("event=decision-failed", failure);
    }
  }

  /** Starts the loop's thread. */
  public void start() {
    disruptor.start();
  }

  /** Stops the loop's thread. Tasks that are still queued are dropped. */
  public void stop() {
    disruptor.halt();
  }

  /**
   * Runs {@code task} on the loop. Tasks submitted by the loop's own thread bypass the ring: that
   * thread must not wait for free space in the ring that only it can provide.
   */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      loopTasks.add(task);
      return;
    }
    disruptor.publishEvent((holder, sequence) -> holder.task = task);
  }

  @Override
  public void executeUrgent(Runnable task) {
    urgentTasks.add(task);
    // Wakes the loop. If it is busy, the task is taken before this one.
    execute(this::runUrgentTasks);
  }

  /** Runs {@code supplier} on the loop and returns its result. */
  public <T> CompletableFuture<T> call(Supplier<T> supplier) {
    return CompletableFuture.supplyAsync(supplier, this);
  }

  private static final class FailureLogger implements ExceptionHandler<TaskHolder> {
    @Override
    public void handleEventException(Throwable failure, long sequence, TaskHolder holder) {
      LOG.error("event=decision-failed sequence={}", sequence, failure);
    }

    @Override
    public void handleOnStartException(Throwable failure) {
      LOG.error("event=decision-loop-start-failed", failure);
    }

    @Override
    public void handleOnShutdownException(Throwable failure) {
      LOG.error("event=decision-loop-stop-failed", failure);
    }
  }
}
