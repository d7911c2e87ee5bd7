package org.wheatwall.entry.batch.permit;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.wire.http.Problems;

/**
 * Puts questions for permits one at a time, since the service works on one call of a host at a
 * time; those of urgent jobs first, otherwise in their order. What waits holds nothing else up.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class PermitDesk {
  // A step asks one question at a time, so that more would be many thousand steps waiting.
  static final int MAX_WAITING = 2000;
  // After a failure, so that a service that is away is not asked all the time.
  static final int PAUSE_MS = 300;

  private final PermitPort port;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparing((Waiting entry) -> !entry.question().urgent())
              .thenComparingLong(Waiting::number));
  private long numbers;
  private boolean busy;
  private boolean closed;

  private record Waiting(PermitRequest question, long number) {}

  /** Is told of answers. */
  public interface Listener {
    /**
     * Takes in an answer, empty if there was none.
     *
     * @param askedMs when the question went out
     */
    void permitsAnswered(PermitRequest question, Optional<PermitResponse> answer, long askedMs);

    /** Notes that a question was not answered. */
    void permitsFailed(PermitRequest question, String cause);
  }

  /** Creates a desk without questions. */
  public PermitDesk(
      PermitPort port, Executor loop, LoopTimer timer, Clock clock, Listener listener) {
    this.port = port;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.listener = listener;
  }

  /** Puts a question, now or when those before it are answered. */
  public void ask(PermitRequest question) {
    if (queue.size() >= MAX_WAITING) {
      loop.execute(() -> failed(question, clock.nowMs(), MAX_WAITING + " questions wait already"));
      return;
    }
    queue.add(new Waiting(question, numbers++));
    next();
  }

  /** Asks nothing any more. */
  public void close() {
    closed = true;
    queue.clear();
  }

  private void next() {
    if (busy || closed || queue.isEmpty()) {
      return;
    }
    busy = true;
    PermitRequest question = queue.poll().question();
    long askedMs = clock.nowMs();
    LoopCallbacks.whenDone(
        port.ask(question),
        loop,
        (answer, failure) -> {
          if (closed) {
            return;
          }
          if (failure == null) {
            busy = false;
            listener.permitsAnswered(question, Optional.of(answer), askedMs);
            next();
          } else {
            failed(question, askedMs, String.valueOf(Problems.unwrap(failure).getMessage()));
            timer.after(PAUSE_MS, this::goOn);
          }
        });
  }

  private void goOn() {
    busy = false;
    next();
  }

  private void failed(PermitRequest question, long askedMs, String cause) {
    if (!closed) {
      listener.permitsFailed(question, cause);
      listener.permitsAnswered(question, Optional.empty(), askedMs);
    }
  }
}
