package org.wheatwall.entry.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.wheatwall.entry.common.Clock;

/**
 * The one thread of a host's decision loop, on which tasks take simulated time, those that look at
 * the queue above all. What comes meanwhile waits for its turn.
 */
final class SimulatedProcessor implements Executor {
  private static final int MICROS_PER_MS = 1000;
  private static final StackWalker CALLERS = StackWalker.getInstance();

  private final VirtualTime time;
  private final Speed speed;
  private final LongSupplier frozenMs;
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private boolean busy;
  private boolean stopped;
  private long owedMicros;

  /**
   * What work takes.
   *
   * @param taskMicros each task of the loop, microseconds
   * @param lookMicros a look at the queue for each group that waits, microseconds
   */
  record Costs(int taskMicros, int lookMicros) {}

  /**
   * How long it is busy.
   *
   * @param waiting how many groups wait
   */
  record Speed(Costs costs, IntSupplier waiting) {
    long lookMs() {
      return (long) costs.lookMicros() * waiting.getAsInt() / MICROS_PER_MS;
    }
  }

  /**
   * Creates a processor.
   *
   * @param frozenMs for how long its host still stands still, milliseconds
   */
  SimulatedProcessor(VirtualTime time, Speed speed, LongSupplier frozenMs) {
    this.time = time;
    this.speed = speed;
    this.frozenMs = frozenMs;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (!busy) {
      busy = true;
      time.after(0, this::next);
    }
  }

  /** Does nothing more. */
  void stop() {
    stopped = true;
  }

  private void next() {
    if (stopped || tasks.isEmpty()) {
      busy = false;
      return;
    }
    if (frozenMs.getAsLong() > 0) {
      time.after(frozenMs.getAsLong(), this::next);
      return;
    }
    tasks.remove().run();
    owedMicros += speed.costs().taskMicros();
    long wholeMs = owedMicros / MICROS_PER_MS;
    owedMicros %= MICROS_PER_MS;
    time.after(wholeMs, this::next);
  }

  /** Returns a clock that goes on while the decider looks at the queue. */
  Clock clockOver(Clock clock) {
    return new Clock() {
      @Override
      public long nowMs() {
        return clock.nowMs();
      }

      // The decider reads the time of day as the last thing before it looks.
      @Override
      public long wallMs() {
        if (isLook()) {
          time.spend(speed.lookMs());
        }
        return clock.wallMs();
      }

      @Override
      public long skippedMs() {
        return clock.skippedMs();
      }
    };
  }

  private static boolean isLook() {
    String decider = BatchDecider.class.getName();
    return CALLERS.walk(
        frames ->
            frames
                .skip(2)
                .findFirst()
                .filter(frame -> frame.getClassName().equals(decider))
                .filter(frame -> frame.getMethodName().equals("decideSoon"))
                .isPresent());
  }
}
