package org.wheatwall.standin.log;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.standin.common.FaultMode;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.platform.AppendReply;
import org.wheatwall.wire.platform.LogPage;

/**
 * Stand-in for the platform's log: one stream with offsets, retention by age, a limit on appends
 * per second, long polling, outages, and responses that are lost after the append took effect.
 */
public final class LogStandIn implements AutoCloseable {
  private static final int MAX_RECORD_BYTES = 512 * 1024;
  private static final long MAX_WAIT_MS = 30_000;

  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final SplittableRandom random;
  private final long retentionMs;
  private final int appendsPerSecond;
  private final EventLoopGroup group;
  private final HttpServer server;
  private volatile FaultMode fault = FaultMode.NONE;
  private long nextOffset;
  private double tokens;
  private long tokensAtNs = System.nanoTime();
  private long refusedAppends;

  private record StoredRecord(long offset, long atNs, String data) {}

  private record PendingRead(long from, int limit, CompletableFuture<HttpReply> reply) {}

  private LogStandIn(EventLoopGroup group, InetSocketAddress address, Settings settings) {
    this.group = group;
    this.retentionMs = settings.retentionMs();
    this.appendsPerSecond = settings.appendsPerSecond();
    this.tokens = appendsPerSecond;
    this.random = new SplittableRandom(settings.seed());
    this.server = HttpServer.start(group, address, MAX_RECORD_BYTES * 2, this::handle);
  }

  /**
   * Settings of the log.
   *
   * @param retentionMs how long a record is retained, milliseconds
   * @param appendsPerSecond appends accepted per second
   * @param seed seed of the random choice of lost responses
   */
  public record Settings(long retentionMs, int appendsPerSecond, long seed) {
    /** A day of retention and 100 appends per second. */
    public static final Settings DEFAULT = new Settings(86_400_000, 100, 1);
  }

  /** Starts the stand-in. */
  public static LogStandIn start(
      EventLoopGroup group, InetSocketAddress address, Settings settings) {
    return new LogStandIn(group, address, settings);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Sets the faults of later responses. */
  public void setFault(FaultMode next) {
    fault = next;
  }

  /** Returns the number of records appended since the start. */
  public synchronized long appended() {
    return nextOffset;
  }

  /** Returns the number of appends refused because the rate limit was exceeded. */
  public synchronized long refusedAppends() {
    return refusedAppends;
  }

  @Override
  public void close() {
    server.close();
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    if (call.path().equals("/fault")) {
      fault = Json.read(call.body(), FaultMode.class);
      return CompletableFuture.completedFuture(HttpReply.empty(204));
    }
    FaultMode current = fault;
    if (current.outage()) {
      return CompletableFuture.failedFuture(
          new Refusal(RefusalKind.UNAVAILABLE, "log outage", "repeat later"));
    }
    CompletableFuture<HttpReply> reply =
        switch (call.method() + " " + call.path()) {
          case "POST /append" -> CompletableFuture.completedFuture(append(call));
          case "GET /read" -> read(call);
          default ->
              CompletableFuture.failedFuture(
                  new Refusal(RefusalKind.NOT_FOUND, "no such path", "use /append or /read"));
        };
    return withFaults(reply, current);
  }

  private CompletableFuture<HttpReply> withFaults(
      CompletableFuture<HttpReply> reply, FaultMode current) {
    boolean lose;
    synchronized (this) {
      lose = random.nextInt(100) < current.loseAnswersPercent();
    }
    if (lose) {
      return new CompletableFuture<>();
    }
    return current.delayMs() == 0 ? reply : reply.thenCompose(value -> delayed(value, current));
  }

  private CompletableFuture<HttpReply> delayed(HttpReply value, FaultMode current) {
    CompletableFuture<HttpReply> delayedReply = new CompletableFuture<>();
    group.schedule(() -> delayedReply.complete(value), current.delayMs(), TimeUnit.MILLISECONDS);
    return delayedReply;
  }

  private HttpReply append(HttpCall call) {
    if (call.body().length > MAX_RECORD_BYTES) {
      throw new Refusal(RefusalKind.TOO_LARGE, "record too large", "split the record");
    }
    List<Runnable> completions = new ArrayList<>();
    long offset;
    synchronized (this) {
      if (!tryTakeToken()) {
        refusedAppends++;
        throw new Refusal(RefusalKind.LIMIT, "append rate exceeded", "append less often");
      }
      offset = nextOffset++;
      records.addLast(
          new StoredRecord(
              offset, System.nanoTime(), new String(call.body(), StandardCharsets.UTF_8)));
      trim();
      Iterator<PendingRead> pending = pendingReads.iterator();
      while (pending.hasNext()) {
        PendingRead read = pending.next();
        if (read.from() < nextOffset) {
          pending.remove();
          HttpReply page = page(read.from(), read.limit());
          completions.add(() -> read.reply().complete(page));
        }
      }
    }
    completions.forEach(Runnable::run);
    return HttpReply.json(200, Json.bytes(new AppendReply(offset)));
  }

  private CompletableFuture<HttpReply> read(HttpCall call) {
    long from = call.query("from").map(Long::parseLong).orElse(0L);
    int limit = call.query("limit").map(Integer::parseInt).orElse(500);
    long waitMs = Math.min(MAX_WAIT_MS, call.query("waitMs").map(Long::parseLong).orElse(0L));
    synchronized (this) {
      trim();
      if (from < nextOffset || waitMs == 0) {
        return CompletableFuture.completedFuture(page(from, limit));
      }
      CompletableFuture<HttpReply> reply = new CompletableFuture<>();
      PendingRead read = new PendingRead(from, limit, reply);
      pendingReads.add(read);
      group.schedule(() -> onWaitTimeout(read), waitMs, TimeUnit.MILLISECONDS);
      return reply;
    }
  }

  private void onWaitTimeout(PendingRead read) {
    HttpReply page;
    synchronized (this) {
      if (!pendingReads.remove(read)) {
        return;
      }
      page = page(read.from(), read.limit());
    }
    read.reply().complete(page);
  }

  private HttpReply page(long from, int limit) {
    List<LogPage.Entry> entries = new ArrayList<>();
    long now = System.nanoTime();
    for (StoredRecord record : records) {
      if (record.offset() >= from && entries.size() < limit) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(now - record.atNs());
        entries.add(new LogPage.Entry(record.offset(), ageMs, record.data()));
      }
    }
    long first = records.isEmpty() ? nextOffset : records.peekFirst().offset();
    return HttpReply.json(200, Json.bytes(new LogPage(first, nextOffset, entries)));
  }

  private boolean tryTakeToken() {
    long now = System.nanoTime();
    tokens = Math.min(appendsPerSecond, tokens + (now - tokensAtNs) / 1e9 * appendsPerSecond);
    tokensAtNs = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void trim() {
    long oldestNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(retentionMs);
    while (!records.isEmpty() && records.peekFirst().atNs() < oldestNs) {
      records.removeFirst();
    }
  }
}
