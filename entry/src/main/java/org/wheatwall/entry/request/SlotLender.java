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
 * Lends slots of runners that this host owns. Another host's request waits in the same fair queue
 * as this host's own, so it makes no difference through which host a caller comes.
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

  /** Answers another entry host that asks for a slot, when there is one or its wait is over. */
  CompletableFuture<Envelope.Builder> onSlotRequest(SlotAsk ask) {
    boolean refused =
        allReturned != null
            || !mayAct.getAsBoolean()
            || ask.getPermit().isEmpty()
            || ask.getService().length() > Names.MAX_LENGTH
            || ask.getWorkspace().length() > Names.MAX_LENGTH;
    if (refused) {
      return CompletableFuture.completedFuture(reply(SlotReply.newBuilder()));
    }
    long waitMs = Math.min(MAX_WAIT_MS, ask.getWaitMs());
    CompletableFuture<Slot> slot = new CompletableFuture<>();
    pendingRequests.put(ask.getPermit(), slot);
    SlotWaiter waiter =
        new SlotWaiter(
            ask.getWorkspace(),
            ask.getWeight(),
            Set.copyOf(ask.getAvoidList()),
            clock.nowMs() + waitMs,
            false,
            slot);
    pendingGrants.incrementAndGet();
    return services
        .apply(ask.getService())
        .acquireOrEnqueue(waiter, true)
        .handle((taken, failure) -> finishRequest(ask, taken));
  }

  private Envelope.Builder finishRequest(SlotAsk ask, Slot taken) {
    SlotReply.Builder reply = SlotReply.newBuilder();
    boolean stillWanted = pendingRequests.remove(ask.getPermit()) != null;
    if (taken != null && stillWanted) {
      long holdMs = Math.min(ask.getHoldMs(), maxDeadlineMs);
      lentSlots.put(
          ask.getPermit(), new LentSlot(taken, clock.nowMs() + holdMs + RETURN_MARGIN_MS));
      reply.setGranted(true).setRunner(taken.runner()).setAddress(Addresses.text(taken.address()));
    } else if (taken != null) {
      taken.release(SlotOutcome.DONE);
    }
    pendingGrants.decrementAndGet();
    return reply(reply);
  }

  /** Takes back a slot that another entry host has used, or does not wait for any more. */
  CompletableFuture<Envelope.Builder> onReturn(SlotReturn returned) {
    CompletableFuture<Slot> given = pendingRequests.remove(returned.getPermit());
    if (given != null) {
      given.cancel(false);
    }
    LentSlot entry = lentSlots.remove(returned.getPermit());
    if (entry != null) {
      entry.slot().release(stopLending(returned));
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setSlotReturn(returned));
  }

  private static SlotOutcome stopLending(SlotReturn returned) {
    if (returned.getLost()) {
      return SlotOutcome.LOST;
    }
    return returned.getSuccess() ? SlotOutcome.DONE : SlotOutcome.FAILED;
  }

  /**
   * Lends nothing more; completes when every slot that was lent is back and none is in use here.
   * The next owner of a runner counts from zero once this host has retired.
   */
  CompletableFuture<Void> stopLending() {
    CompletableFuture<Void> whenBack = new CompletableFuture<>();
    allReturned = whenBack;
    return whenBack;
  }

  /**
   * Takes back what was not returned in time; called every few milliseconds.
   *
   * @param takenSlots slots of the own runners that are in use or rest
   */
  void tick(int takenSlots) {
    long nowMs = clock.nowMs();
    lentSlots.forEach(
        (permit, entry) -> {
          if (entry.expiresAtMs() <= nowMs && lentSlots.remove(permit) != null) {
            entry.slot().release(SlotOutcome.FAILED);
          }
        });
    CompletableFuture<Void> ending = allReturned;
    if (ending != null && pendingGrants.get() == 0 && lentSlots.isEmpty() && takenSlots == 0) {
      ending.complete(null);
    }
  }

  private static Envelope.Builder reply(SlotReply.Builder reply) {
    return Envelope.newBuilder().setSlotReply(reply);
  }
}
