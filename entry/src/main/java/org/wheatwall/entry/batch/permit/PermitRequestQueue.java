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
 * Sends permit requests one at a time, since the service processes one call per host at a time.
 * Requests of urgent jobs go first, all others in order of arrival. Waiting requests block nothing
 * else.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class PermitRequestQueue {
  // Each step has at most one request, so a longer queue would mean many thousand waiting steps.
  static final int MAX_WAITING = 2000;
  // Pause after a failure, so that a service that is down is not called continuously.
  static final int FAILURE_PAUSE_MS = 300;

  private final PermitPort port;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparing((Waiting waiting) -> !waiting.request().urgent())
              .thenComparingLong(Waiting::number));
  private long nextNumber;
  private boolean busy;
  private boolean closed;

  private record Waiting(PermitRequest request, long number) {}

  /** Receives the results of requests. */
  public interface Listener {
    /**
     * Called with the response, empty if there was none.
     *
     * @param sentMs when the request was sent, milliseconds on the monotonic clock
     */
    void onPermitResponse(PermitRequest request, Optional<PermitResponse> response, long sentMs);

    /** Called when a request got no response. */
    void onPermitFailure(PermitRequest request, String cause);
  }

  /** Creates an empty queue. */
  public PermitRequestQueue(
      PermitPort port, Executor loop, LoopTimer timer, Clock clock, Listener listener) {
    this.port = port;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.listener = listener;
  }

  /** Submits a request, which is sent once those before it are done. */
  public void submit(PermitRequest request) {
    if (queue.size() >= MAX_WAITING) {
      loop.execute(() -> failed(request, clock.nowMs(), MAX_WAITING + " questions wait already"));
      return;
    }
    queue.add(new Waiting(request, nextNumber++));
    sendNext();
  }

  /** Stops sending and discards all waiting requests. */
  public void close() {
    closed = true;
    queue.clear();
  }

  private void sendNext() {
    if (busy || closed || queue.isEmpty()) {
      return;
    }
    busy = true;
    PermitRequest request = queue.poll().request();
    long sentMs = clock.nowMs();
    LoopCallbacks.whenDone(
        port.requestPermits(request),
        loop,
        (response, failure) -> {
          if (closed) {
            return;
          }
          if (failure == null) {
            busy = false;
            listener.onPermitResponse(request, Optional.of(response), sentMs);
            sendNext();
          } else {
            failed(request, sentMs, String.valueOf(Problems.unwrap(failure).getMessage()));
            timer.after(FAILURE_PAUSE_MS, this::resume);
          }
        });
  }

  private void resume() {
    busy = false;
    sendNext();
  }

  private void failed(PermitRequest request, long sentMs, String cause) {
    if (!closed) {
      listener.onPermitFailure(request, cause);
      listener.onPermitResponse(request, Optional.empty(), sentMs);
    }
  }
}
