package org.wheatwall.entry.batch.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpFailure;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;

/**
 * Passes a caller's call on to another entry host, for a host that cannot reach the store while
 * others may. Peers answer at an address of their own and never pass a call on again, so that no
 * call goes round.
 *
 * <p>Thread-safe.
 */
public final class PeerRelay {
  // Most peers that one call is tried at: half of a zone may be cut off together with this host.
  private static final int MOST_TRIES = 3;
  // A peer that did not answer, or could not serve either, is left out for a time.
  private static final int REST_MS = 1000;
  // Kept back from the caller's time, for the way of the answer and a last word of this host.
  private static final int RESERVE_MS = 50;
  // A peer that takes longer has trouble with the store itself.
  private static final int LONGEST_TRY_MS = 500;

  private final HttpClient client;
  private final Supplier<List<LogContent.Host>> peers;
  private final Clock clock;
  private final Map<String, Long> restsUntilMs = new ConcurrentHashMap<>();

  /**
   * Creates a relay.
   *
   * @param peers the other hosts, best first
   */
  public PeerRelay(HttpClient client, Supplier<List<LogContent.Host>> peers, Clock clock) {
    this.client = client;
    this.peers = peers;
    this.clock = clock;
  }

  /**
   * What came of a call that was passed on.
   *
   * @param reply a peer's answer, empty if none could serve
   * @param mayHaveRun whether a peer without a useful answer may have carried the call out
   */
  public record Outcome(Optional<HttpReply> reply, boolean mayHaveRun) {}

  /**
   * Passes a call on; the future never fails. A peer that may have carried the call out without a
   * useful answer is the last: the caller comes back, and the time of another try would be its own.
   *
   * @param useful whether an answer is final; after any other the next peer is tried
   * @param ranPerhaps whether an answer that is not useful leaves open if the call was carried out
   * @param deadlineMs time on the steady clock by which the caller wants to know
   */
  public CompletableFuture<Outcome> pass(
      HttpCall call,
      Predicate<HttpReply> useful,
      Predicate<HttpReply> ranPerhaps,
      long deadlineMs) {
    List<String> chosen = choose();
    return attempt(new Attempt(call, useful, ranPerhaps, deadlineMs), chosen, 0);
  }

  private record Attempt(
      HttpCall call,
      Predicate<HttpReply> useful,
      Predicate<HttpReply> ranPerhaps,
      long deadlineMs) {}

  private List<String> choose() {
    long nowMs = clock.nowMs();
    List<String> chosen = new ArrayList<>();
    for (LogContent.Host peer : peers.get()) {
      boolean rests = restsUntilMs.getOrDefault(peer.address(), nowMs) > nowMs;
      if (!rests && chosen.size() < MOST_TRIES) {
        chosen.add(peer.address());
      }
    }
    return chosen;
  }

  private CompletableFuture<Outcome> attempt(Attempt attempt, List<String> chosen, int next) {
    long leftMs = attempt.deadlineMs() - clock.nowMs() - RESERVE_MS;
    if (next >= chosen.size() || leftMs <= 0) {
      return CompletableFuture.completedFuture(new Outcome(Optional.empty(), false));
    }
    String peer = chosen.get(next);
    InetSocketAddress address = Addresses.parse(peer);
    return client
        .send(address, attempt.call(), "", Math.min(LONGEST_TRY_MS, leftMs))
        .handle(
            (reply, failure) -> {
              if (failure == null && attempt.useful().test(reply)) {
                restsUntilMs.remove(peer);
                return CompletableFuture.completedFuture(new Outcome(Optional.of(reply), false));
              }
              restsUntilMs.put(peer, clock.nowMs() + REST_MS);
              boolean open =
                  failure == null ? attempt.ranPerhaps().test(reply) : !surelyUnsent(failure);
              return open
                  ? CompletableFuture.completedFuture(new Outcome(Optional.empty(), true))
                  : attempt(attempt, chosen, next + 1);
            })
        .thenCompose(outcome -> outcome);
  }

  private static boolean surelyUnsent(Throwable failure) {
    return Problems.unwrap(failure) instanceof HttpFailure known
        && known.kind() == HttpFailure.Kind.NOT_SENT;
  }
}
