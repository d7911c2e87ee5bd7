package org.wheatwall.entry.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.http.CallTimeout;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpFailure;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.platform.AppendReply;
import org.wheatwall.wire.platform.HostList;
import org.wheatwall.wire.platform.LogPage;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Client of the platform's log, its host list and the workers over the stand-ins' HTTP protocol.
 */
public final class HttpPlatform implements LogService, HostListService, WorkerService {
  private static final long CALL_TIMEOUT_MS = 2000;

  // A read whose response is lost delays every later change, so it times out early.
  private static final long READ_TIMEOUT_MARGIN_MS = 700;
  // Lost packets are sent again within a second.
  private static final long READ_PROGRESS_MS = 1500;
  // At least this long, so that a page of 1 MB arrives at 100 KB/s.
  private static final long READ_TRANSFER_MS = 10_000;

  private final HttpClient client;
  private final InetSocketAddress log;
  private final InetSocketAddress list;
  private final AtomicLong nextRequest = new AtomicLong();

  /** Creates a client of the log at {@code log} and the host list at {@code list}. */
  public HttpPlatform(HttpClient client, InetSocketAddress log, InetSocketAddress list) {
    this.client = client;
    this.log = log;
    this.list = list;
  }

  @Override
  public CompletableFuture<Long> append(byte[] record) {
    HttpCall call = HttpCall.of("POST", "/append");
    HttpCall withBody = new HttpCall(call.method(), call.target(), call.headers(), record);
    return send(log, withBody, CALL_TIMEOUT_MS)
        .thenApply(reply -> Json.read(reply.body(), AppendReply.class).offset());
  }

  @Override
  public CompletableFuture<LogPage> read(long from, int limit, long waitMs) {
    String target = "/read?from=" + from + "&limit=" + limit + "&waitMs=" + waitMs;
    long responseMs = READ_TIMEOUT_MARGIN_MS + waitMs;
    CallTimeout timeout =
        new CallTimeout(responseMs, READ_PROGRESS_MS, responseMs + READ_TRANSFER_MS);
    return send(log, HttpCall.of("GET", target), timeout)
        .thenApply(reply -> Json.read(reply.body(), LogPage.class));
  }

  @Override
  public CompletableFuture<HostList> fetch() {
    return send(list, HttpCall.of("GET", "/hosts"), CALL_TIMEOUT_MS)
        .thenApply(reply -> Json.read(reply.body(), HostList.class));
  }

  @Override
  public CompletableFuture<WorkerReport> exchange(
      String address, WorkerExchange exchange, long timeoutMs) {
    HttpCall call = HttpCall.of("POST", "/exchange");
    HttpCall withBody =
        new HttpCall(call.method(), call.target(), call.headers(), Json.bytes(exchange));
    return send(Addresses.parse(address), withBody, timeoutMs)
        .thenApply(reply -> Json.read(reply.body(), WorkerReport.class));
  }

  private CompletableFuture<HttpReply> send(
      InetSocketAddress address, HttpCall call, long timeoutMs) {
    return send(address, call, CallTimeout.ofTotal(timeoutMs));
  }

  private CompletableFuture<HttpReply> send(
      InetSocketAddress address, HttpCall call, CallTimeout timeout) {
    String requestId = "p" + nextRequest.incrementAndGet();
    return client
        .send(address, call, requestId, timeout, () -> {})
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                throw refusal(address, Problems.unwrap(failure));
              }
              if (reply.status() >= 300) {
                throw refusal(address, reply);
              }
              return reply;
            });
  }

  private static Refusal refusal(InetSocketAddress address, Throwable failure) {
    boolean notSent =
        failure instanceof HttpFailure httpFailure
            && httpFailure.kind() == HttpFailure.Kind.NOT_SENT;
    return new Refusal(
        notSent ? RefusalKind.UNAVAILABLE : RefusalKind.UNKNOWN,
        address + ": " + failure.getMessage(),
        "check that the service at this address runs");
  }

  private static Refusal refusal(InetSocketAddress address, HttpReply reply) {
    RefusalKind kind =
        reply.status() == 429
            ? RefusalKind.LIMIT
            : reply.status() == 503 ? RefusalKind.UNAVAILABLE : RefusalKind.INVALID;
    return new Refusal(
        kind, address + " answered " + reply.status() + ": " + reply.text(), "see detail");
  }
}
