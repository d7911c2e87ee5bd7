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
 * Forwards a caller's call to another entry host when this host cannot reach the store but others
 * may. Peers accept forwarded calls at a separate address and never forward them again, so there
 * are no loops.
 *
 * <p>Thread-safe.
 */
public final class PeerRelay {
  // Limits the peers tried for one call; half of a zone may be partitioned together with this host.
  private static final int MAX_ATTEMPTS = 3;
  // A peer that did not respond, or could not serve the call either, is skipped for this time.
  private static final int PEER_BACKOFF_MS = 1000;
  // Part of the caller's time that is reserved for returning a peer's response, or this host's own
  // if no peer sent a final one.
  private static final int RESERVE_MS = 50;
  // A peer that takes longer has trouble with the store itself.
  private static final int MAX_ATTEMPT_MS = 500;

  private final HttpClient client;
  private final Supplier<List<LogContent.Host>> peers;
  private final Clock clock;
  private final Map<String, Long> backoffUntilMs = new ConcurrentHashMap<>();

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
   * The result of a forwarded call.
   *
   * @param reply a peer's final reply, empty if no peer could serve the call
   * @param undecidedPeer address of the peer that may have carried the call out but sent no final
   *     reply, empty if none was asked that may have
   */
  public record Outcome(Optional<HttpReply> reply, Optional<String> undecidedPeer) {
    private static final Outcome NOT_RUN = new Outcome(Optional.empty(), Optional.empty());

    private static Outcome served(HttpReply reply) {
      return new Outcome(Optional.of(reply), Optional.empty());
    }

    private static Outcome undecided(String peer) {
      return new Outcome(Optional.empty(), Optional.of(peer));
    }

    /** Returns whether a peer without a final reply may have carried the call out. */
    public boolean mayHaveRun() {
      return undecidedPeer.isPresent();
    }
  }

  /**
   * Forwards a call; the future never fails. A peer that may have carried the call out but sent no
   * final reply is the last one tried: the caller retries, and another attempt here would use up
   * the caller's time.
   *
   * @param isFinal whether a reply is final; after any other the next peer is tried
   * @param mayHaveRun whether the call may have been carried out despite a reply that is not final
   * @param deadlineMs time on the monotonic clock until which the caller waits, milliseconds
   */
  public CompletableFuture<Outcome> forward(
      HttpCall call,
      Predicate<HttpReply> isFinal,
      Predicate<HttpReply> mayHaveRun,
      long deadlineMs) {
    List<String> chosen = choosePeers();
    return attemptNext(new ForwardedCall(call, isFinal, mayHaveRun, deadlineMs), chosen, 0);
  }

  private record ForwardedCall(
      HttpCall call,
      Predicate<HttpReply> isFinal,
      Predicate<HttpReply> mayHaveRun,
      long deadlineMs) {}

  private List<String> choosePeers() {
    long nowMs = clock.nowMs();
    List<String> chosen = new ArrayList<>();
    for (LogContent.Host peer : peers.get()) {
      boolean backingOff = backoffUntilMs.getOrDefault(peer.address(), nowMs) > nowMs;
      if (!backingOff && chosen.size() < MAX_ATTEMPTS) {
        chosen.add(peer.address());
      }
    }
    return chosen;
  }

  private CompletableFuture<Outcome> attemptNext(
      ForwardedCall forwarded, List<String> chosen, int next) {
    long remainingMs = forwarded.deadlineMs() - clock.nowMs() - RESERVE_MS;
    if (next >= chosen.size() || remainingMs <= 0) {
      return CompletableFuture.completedFuture(Outcome.NOT_RUN);
    }
    String peer = chosen.get(next);
    InetSocketAddress address = Addresses.parse(peer);
    return client
        .send(address, forwarded.call(), "", Math.min(MAX_ATTEMPT_MS, remainingMs))
        .handle(
            (reply, failure) -> {
              if (failure == null && forwarded.isFinal().test(reply)) {
                backoffUntilMs.remove(peer);
                return CompletableFuture.completedFuture(Outcome.served(reply));
              }
              backoffUntilMs.put(peer, clock.nowMs() + PEER_BACKOFF_MS);
              boolean mayHaveRun =
                  failure == null ? forwarded.mayHaveRun().test(reply) : !wasNotSent(failure);
              return mayHaveRun
                  ? CompletableFuture.completedFuture(Outcome.undecided(peer))
                  : attemptNext(forwarded, chosen, next + 1);
            })
        .thenCompose(outcome -> outcome);
  }

  private static boolean wasNotSent(Throwable failure) {
    return Problems.unwrap(failure) instanceof HttpFailure httpFailure
        && httpFailure.kind() == HttpFailure.Kind.NOT_SENT;
  }
}
