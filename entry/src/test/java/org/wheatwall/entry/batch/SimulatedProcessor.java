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
  private final CostModel costModel;
  private final LongSupplier remainingFreezeMs;
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private boolean busy;
  private boolean stopped;
  private long unspentMicros;

  /**
   * What work takes.
   *
   * @param taskMicros each task of the loop, microseconds
   * @param passMicrosPerGroup a look at the queue for each group that waits, microseconds
   */
  record Costs(int taskMicros, int passMicrosPerGroup) {}

  /**
   * How long it is busy.
   *
   * @param waitingGroups how many groups wait
   */
  record CostModel(Costs costs, IntSupplier waitingGroups) {
    long passMs() {
      return (long) costs.passMicrosPerGroup() * waitingGroups.getAsInt() / MICROS_PER_MS;
    }
  }

  /**
   * Creates a processor.
   *
   * @param frozenMs for how long its host still stands still, milliseconds
   */
  SimulatedProcessor(VirtualTime time, CostModel speed, LongSupplier frozenMs) {
    this.time = time;
    this.costModel = speed;
    this.remainingFreezeMs = frozenMs;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (!busy) {
      busy = true;
      time.after(0, this::runNext);
    }
  }

  /** Does nothing more. */
  void stop() {
    stopped = true;
  }

  private void runNext() {
    if (stopped || tasks.isEmpty()) {
      busy = false;
      return;
    }
    if (remainingFreezeMs.getAsLong() > 0) {
      time.after(remainingFreezeMs.getAsLong(), this::runNext);
      return;
    }
    tasks.remove().run();
    unspentMicros += costModel.costs().taskMicros();
    long wholeMs = unspentMicros / MICROS_PER_MS;
    unspentMicros %= MICROS_PER_MS;
    time.after(wholeMs, this::runNext);
  }

  /** Returns a clock that goes on while the decider looks at the queue. */
  Clock clockWithPassCost(Clock clock) {
    return new Clock() {
      @Override
      public long nowMs() {
        return clock.nowMs();
      }

      // The decider reads the time of day as the last thing before it looks.
      @Override
      public long wallMs() {
        if (isStartOfPass()) {
          time.spend(costModel.passMs());
        }
        return clock.wallMs();
      }

      @Override
      public long skippedMs() {
        return clock.skippedMs();
      }
    };
  }

  private static boolean isStartOfPass() {
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
