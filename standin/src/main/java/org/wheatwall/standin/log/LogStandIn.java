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
 * Stand-in for the platform's log: one stream with offsets, retention by time, a limit on appends a
 * second, long polls, outages, and answers that get lost after the append took effect.
 */
public final class LogStandIn implements AutoCloseable {
  private static final int MAX_RECORD = 512 * 1024;
  private static final long MAX_WAIT_MS = 30_000;

  private final Deque<Kept> records = new ArrayDeque<>();
  private final List<Waiting> waiting = new ArrayList<>();
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

  private record Kept(long offset, long atNs, String data) {}

  private record Waiting(long from, int limit, CompletableFuture<HttpReply> reply) {}

  private LogStandIn(EventLoopGroup group, InetSocketAddress address, Settings settings) {
    this.group = group;
    this.retentionMs = settings.retentionMs();
    this.appendsPerSecond = settings.appendsPerSecond();
    this.tokens = appendsPerSecond;
    this.random = new SplittableRandom(settings.seed());
    this.server = HttpServer.start(group, address, MAX_RECORD * 2, this::handle);
  }

  /**
   * How the log behaves.
   *
   * @param retentionMs how long a record is kept
   * @param appendsPerSecond appends taken a second
   * @param seed seed of the choice of lost answers
   */
  public record Settings(long retentionMs, int appendsPerSecond, long seed) {
    /** A day of retention and 100 appends a second. */
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

  /** Sets the fault. */
  public void setFault(FaultMode next) {
    fault = next;
  }

  /** Returns the number of records ever appended. */
  public synchronized long appended() {
    return nextOffset;
  }

  /** Returns the number of appends refused for their rate. */
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
    return disturbed(reply, current);
  }

  private CompletableFuture<HttpReply> disturbed(
      CompletableFuture<HttpReply> reply, FaultMode current) {
    boolean lose;
    synchronized (this) {
      lose = random.nextInt(100) < current.loseAnswersPercent();
    }
    if (lose) {
      return new CompletableFuture<>();
    }
    return current.delayMs() == 0 ? reply : reply.thenCompose(value -> later(value, current));
  }

  private CompletableFuture<HttpReply> later(HttpReply value, FaultMode current) {
    CompletableFuture<HttpReply> late = new CompletableFuture<>();
    group.schedule(() -> late.complete(value), current.delayMs(), TimeUnit.MILLISECONDS);
    return late;
  }

  private HttpReply append(HttpCall call) {
    if (call.body().length > MAX_RECORD) {
      throw new Refusal(RefusalKind.TOO_LARGE, "record too large", "split the record");
    }
    List<Runnable> wakeUps = new ArrayList<>();
    long offset;
    synchronized (this) {
      if (!takeToken()) {
        refusedAppends++;
        throw new Refusal(RefusalKind.LIMIT, "append rate exceeded", "append less often");
      }
      offset = nextOffset++;
      records.addLast(
          new Kept(offset, System.nanoTime(), new String(call.body(), StandardCharsets.UTF_8)));
      trim();
      Iterator<Waiting> iterator = waiting.iterator();
      while (iterator.hasNext()) {
        Waiting reader = iterator.next();
        if (reader.from() < nextOffset) {
          iterator.remove();
          HttpReply page = page(reader.from(), reader.limit());
          wakeUps.add(() -> reader.reply().complete(page));
        }
      }
    }
    wakeUps.forEach(Runnable::run);
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
      Waiting reader = new Waiting(from, limit, reply);
      waiting.add(reader);
      group.schedule(() -> endWait(reader), waitMs, TimeUnit.MILLISECONDS);
      return reply;
    }
  }

  private void endWait(Waiting reader) {
    HttpReply page;
    synchronized (this) {
      if (!waiting.remove(reader)) {
        return;
      }
      page = page(reader.from(), reader.limit());
    }
    reader.reply().complete(page);
  }

  private HttpReply page(long from, int limit) {
    List<LogPage.Entry> entries = new ArrayList<>();
    long now = System.nanoTime();
    for (Kept record : records) {
      if (record.offset() >= from && entries.size() < limit) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(now - record.atNs());
        entries.add(new LogPage.Entry(record.offset(), ageMs, record.data()));
      }
    }
    long first = records.isEmpty() ? nextOffset : records.peekFirst().offset();
    return HttpReply.json(200, Json.bytes(new LogPage(first, nextOffset, entries)));
  }

  private boolean takeToken() {
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
