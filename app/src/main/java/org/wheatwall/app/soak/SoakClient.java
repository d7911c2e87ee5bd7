package org.wheatwall.app.soak;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpFailure;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.ResponseMatching;

/** The connections of one caller, which stay open until the process of the host ends. */
final class SoakClient {
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;
  private static final int DEADLINE_MS = 3000;
  private static final int TIMEOUT_MS = 3500;

  private final SoakCluster cluster;
  private final RunClock clock;
  private final HttpClient client;
  private final ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();

  SoakClient(SoakCluster cluster, RunClock clock) {
    this.cluster = cluster;
    this.clock = clock;
    this.client = new HttpClient(cluster.group(), MAX_RESPONSE_BYTES, 1, ResponseMatching.BY_ORDER);
  }

  /** Calls a host and waits for the result. */
  CallResult call(int number, HttpCall call) {
    SoakHost host = cluster.host(number);
    int incarnation = host.incarnation();
    long sentAtMs = clock.nowMs();
    PlatformDocuments.addCallerHeaders(call, PublishedConfigurations.KEY, DEADLINE_MS);
    Optional<HttpReply> reply = Optional.empty();
    boolean sent = true;
    try {
      reply = Optional.of(client.send(host.jobsAddress(), call, "", TIMEOUT_MS).join());
    } catch (CompletionException failure) {
      sent =
          !(failure.getCause() instanceof HttpFailure known
              && known.kind() == HttpFailure.Kind.NOT_SENT);
    }
    Optional<Integer> sameIncarnation =
        host.incarnation() == incarnation ? Optional.of(incarnation) : Optional.empty();
    CallResult result =
        new CallResult(number, sent, reply, sameIncarnation, sentAtMs, clock.nowMs());
    results.add(result);
    return result;
  }

  /** Returns the results of all calls. */
  List<CallResult> results() {
    return List.copyOf(results);
  }
}
