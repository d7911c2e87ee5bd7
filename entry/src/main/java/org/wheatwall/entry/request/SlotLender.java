package org.wheatwall.entry.request;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.wheatwall.core.common.Names;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.SlotAsk;
import org.wheatwall.wire.message.SlotReply;
import org.wheatwall.wire.message.SlotReturn;

/**
 * Lends slots of the runners that this host owns to other entry hosts. Requests of other hosts wait
 * in the same fair queue as local ones, so it makes no difference which host a caller uses.
 */
final class SlotLender {
  private static final long RETURN_MARGIN_MS = 1000;
  private static final int MAX_WAIT_MS = 1000;

  private final Clock clock;
  private final long maxDeadlineMs;
  private final BooleanSupplier mayAct;
  private final Function<String, ServiceSlots> services;
  private final Map<String, LentSlot> lentSlots = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Slot>> pendingRequests = new ConcurrentHashMap<>();
  private final AtomicInteger pendingGrants = new AtomicInteger();
  private volatile CompletableFuture<Void> allReturned;

  private record LentSlot(Slot slot, long expiresAtMs) {}

  SlotLender(
      Clock clock,
      long maxDeadlineMs,
      BooleanSupplier mayAct,
      Function<String, ServiceSlots> services,
      MetricRegistry metrics) {
    this.clock = clock;
    this.maxDeadlineMs = maxDeadlineMs;
    this.mayAct = mayAct;
    this.services = services;
    metrics.gauge("requests.slots-lent", () -> lentSlots::size);
  }

  /** Answers another entry host's request for a slot once one is free or the wait has ended. */
  CompletableFuture<Envelope.Builder> onSlotRequest(SlotAsk request) {
    boolean refused =
        allReturned != null
            || !mayAct.getAsBoolean()
            || request.getPermit().isEmpty()
            || request.getService().length() > Names.MAX_LENGTH
            || request.getWorkspace().length() > Names.MAX_LENGTH;
    if (refused) {
      return CompletableFuture.completedFuture(reply(SlotReply.newBuilder()));
    }
    long waitMs = Math.min(MAX_WAIT_MS, request.getWaitMs());
    CompletableFuture<Slot> slot = new CompletableFuture<>();
    pendingRequests.put(request.getPermit(), slot);
    SlotWaiter waiter =
        new SlotWaiter(
            request.getWorkspace(),
            request.getWeight(),
            Set.copyOf(request.getAvoidList()),
            clock.nowMs() + waitMs,
            false,
            slot);
    pendingGrants.incrementAndGet();
    return services
        .apply(request.getService())
        .acquireOrEnqueue(waiter, true)
        .handle((acquired, failure) -> finishRequest(request, acquired));
  }

  private Envelope.Builder finishRequest(SlotAsk request, Slot acquired) {
    SlotReply.Builder reply = SlotReply.newBuilder();
    boolean isPending = pendingRequests.remove(request.getPermit()) != null;
    if (acquired != null && isPending) {
      long holdMs = Math.min(request.getHoldMs(), maxDeadlineMs);
      lentSlots.put(
          request.getPermit(), new LentSlot(acquired, clock.nowMs() + holdMs + RETURN_MARGIN_MS));
      reply
          .setGranted(true)
          .setRunner(acquired.runner())
          .setAddress(Addresses.text(acquired.address()));
    } else if (acquired != null) {
      acquired.release(SlotOutcome.DONE);
    }
    pendingGrants.decrementAndGet();
    return reply(reply);
  }

  /** Releases a slot that another entry host returns, or cancels its request for one. */
  CompletableFuture<Envelope.Builder> onReturn(SlotReturn message) {
    CompletableFuture<Slot> pending = pendingRequests.remove(message.getPermit());
    if (pending != null) {
      pending.cancel(false);
    }
    LentSlot lentSlot = lentSlots.remove(message.getPermit());
    if (lentSlot != null) {
      lentSlot.slot().release(outcome(message));
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setSlotReturn(message));
  }

  private static SlotOutcome outcome(SlotReturn message) {
    if (message.getLost()) {
      return SlotOutcome.LOST;
    }
    return message.getSuccess() ? SlotOutcome.DONE : SlotOutcome.FAILED;
  }

  /**
   * Stops lending. The future completes when all lent slots are returned and no own slot is in use:
   * the next owner of a runner assumes that no slot is in use once this host has retired.
   */
  CompletableFuture<Void> stopLending() {
    CompletableFuture<Void> whenReturned = new CompletableFuture<>();
    allReturned = whenReturned;
    return whenReturned;
  }

  /**
   * Releases lent slots that were not returned in time. Called every few milliseconds.
   *
   * @param takenSlots number of slots of own runners that are in use or in cooldown
   */
  void tick(int takenSlots) {
    long nowMs = clock.nowMs();
    lentSlots.forEach(
        (permit, lentSlot) -> {
          if (lentSlot.expiresAtMs() <= nowMs && lentSlots.remove(permit) != null) {
            lentSlot.slot().release(SlotOutcome.FAILED);
          }
        });
    CompletableFuture<Void> returnedFuture = allReturned;
    if (returnedFuture != null
        && pendingGrants.get() == 0
        && lentSlots.isEmpty()
        && takenSlots == 0) {
      returnedFuture.complete(null);
    }
  }

  private static Envelope.Builder reply(SlotReply.Builder reply) {
    return Envelope.newBuilder().setSlotReply(reply);
  }
}
