package org.wheatwall.app.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.ResponseMatching;

/**
 * Sends requests on a fixed schedule (open loop). Latency is measured from the time a request was
 * due, not from when it was sent, so a stalled server cannot hide the requests that it delayed.
 */
public final class LoadGenerator {
  private static final int MAX_BODY = 1 << 20;
  private static final int EVENT_LOOPS = 2;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long COMPLETION_TIMEOUT_SECONDS = 35;

  private final LoadPlan plan;
  private long nextKey;
  private final String run = Long.toString(System.nanoTime(), 36);

  /** Creates a generator. */
  public LoadGenerator(LoadPlan plan) {
    this.plan = plan;
  }

  /** Runs the plan and returns its result. */
  public LoadResult run() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    try {
      return run(new HttpClient(group, MAX_BODY, plan.connections(), ResponseMatching.BY_ORDER));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private LoadResult run(HttpClient client) throws InterruptedException {
    sendAll(client, new LoadResult(), plan.warmUpSeconds());
    LoadResult result = new LoadResult();
    sendAll(client, result, plan.seconds());
    return result;
  }

  private void sendAll(HttpClient client, LoadResult result, int seconds)
      throws InterruptedException {
    int total = plan.perSecond() * seconds;
    AtomicInteger pending = new AtomicInteger(total);
    Semaphore done = new Semaphore(0);
    long startNs = System.nanoTime();
    for (int i = 0; i < total; i++) {
      long dueNs = startNs + i * NANOS_PER_SECOND / plan.perSecond();
      waitUntil(dueNs);
      send(client, i, dueNs, result, pending, done);
    }
    result.setElapsed((System.nanoTime() - startNs) / (double) NANOS_PER_SECOND);
    if (total > 0) {
      done.tryAcquire(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private void send(
      HttpClient client,
      int index,
      long dueNs,
      LoadResult result,
      AtomicInteger pending,
      Semaphore done) {
    InetSocketAddress target = plan.targets().get(index % plan.targets().size());
    HttpCall call = HttpCall.of(plan.keyed() ? "POST" : "GET", plan.path());
    call.with("Wheatwall-Deadline-Ms", String.valueOf(plan.deadlineMs()));
    if (plan.keyed()) {
      call.with("Idempotency-Key", run + "-" + nextKey++);
    }
    client
        .send(target, call, run + index, plan.deadlineMs() + 5000L)
        .whenComplete(
            (reply, failure) -> {
              result.record(outcome(reply, failure), System.nanoTime() - dueNs);
              if (pending.decrementAndGet() == 0) {
                done.release();
              }
            });
  }

  // A target that is not an entry host, such as a runner, sends no outcome header.
  private static String outcome(HttpReply reply, Throwable failure) {
    if (failure != null) {
      return "lost";
    }
    String fallback = reply.status() == 200 ? "answered" : "status-" + reply.status();
    return reply.header("Wheatwall-Outcome").orElse(fallback);
  }

  private static void waitUntil(long dueNs) {
    long remainingNs = dueNs - System.nanoTime();
    while (remainingNs > 0) {
      if (remainingNs > 100_000) {
        LockSupport.parkNanos(remainingNs - 50_000);
      } else {
        Thread.onSpinWait();
      }
      remainingNs = dueNs - System.nanoTime();
    }
  }
}
