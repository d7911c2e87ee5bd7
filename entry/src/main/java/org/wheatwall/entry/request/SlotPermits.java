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
final class SlotPermits {
  private static final long LENT_MARGIN_MS = 1000;
  private static final int MAX_WAIT_MS = 1000;

  private final Clock clock;
  private final long maxDeadlineMs;
  private final BooleanSupplier mayAct;
  private final Function<String, ServiceSlots> services;
  private final Map<String, Lent> lent = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<Slot>> waiting = new ConcurrentHashMap<>();
  private final AtomicInteger grantsUnderWay = new AtomicInteger();
  private volatile CompletableFuture<Void> ended;

  private record Lent(Slot slot, long untilMs) {}

  SlotPermits(
      Clock clock,
      long maxDeadlineMs,
      BooleanSupplier mayAct,
      Function<String, ServiceSlots> services,
      MetricRegistry metrics) {
    this.clock = clock;
    this.maxDeadlineMs = maxDeadlineMs;
    this.mayAct = mayAct;
    this.services = services;
    metrics.gauge("requests.slots-lent", () -> lent::size);
  }

  /** Answers another entry host that asks for a slot, when there is one or its wait is over. */
  CompletableFuture<Envelope.Builder> onAsk(SlotAsk ask) {
    boolean refused =
        ended != null
            || !mayAct.getAsBoolean()
            || ask.getPermit().isEmpty()
            || ask.getService().length() > Names.MAX_LENGTH
            || ask.getWorkspace().length() > Names.MAX_LENGTH;
    if (refused) {
      return CompletableFuture.completedFuture(reply(SlotReply.newBuilder()));
    }
    long waitMs = Math.min(MAX_WAIT_MS, ask.getWaitMs());
    CompletableFuture<Slot> slot = new CompletableFuture<>();
    waiting.put(ask.getPermit(), slot);
    SlotWaiter waiter =
        new SlotWaiter(
            ask.getWorkspace(),
            ask.getWeight(),
            Set.copyOf(ask.getAvoidList()),
            clock.nowMs() + waitMs,
            false,
            slot);
    grantsUnderWay.incrementAndGet();
    return services
        .apply(ask.getService())
        .await(waiter, true)
        .handle((taken, failure) -> conclude(ask, taken));
  }

  private Envelope.Builder conclude(SlotAsk ask, Slot taken) {
    SlotReply.Builder reply = SlotReply.newBuilder();
    boolean stillWanted = waiting.remove(ask.getPermit()) != null;
    if (taken != null && stillWanted) {
      long holdMs = Math.min(ask.getHoldMs(), maxDeadlineMs);
      lent.put(ask.getPermit(), new Lent(taken, clock.nowMs() + holdMs + LENT_MARGIN_MS));
      reply.setGranted(true).setRunner(taken.runner()).setAddress(Addresses.text(taken.address()));
    } else if (taken != null) {
      taken.giveBack(SlotEnd.DONE);
    }
    grantsUnderWay.decrementAndGet();
    return reply(reply);
  }

  /** Takes back a slot that another entry host has used, or does not wait for any more. */
  CompletableFuture<Envelope.Builder> onReturn(SlotReturn returned) {
    CompletableFuture<Slot> given = waiting.remove(returned.getPermit());
    if (given != null) {
      given.cancel(false);
    }
    Lent entry = lent.remove(returned.getPermit());
    if (entry != null) {
      entry.slot().giveBack(end(returned));
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setSlotReturn(returned));
  }

  private static SlotEnd end(SlotReturn returned) {
    if (returned.getLost()) {
      return SlotEnd.LOST;
    }
    return returned.getSuccess() ? SlotEnd.DONE : SlotEnd.FAILED;
  }

  /**
   * Lends nothing more; completes when every slot that was lent is back and none is in use here.
   * The next owner of a runner counts from zero once this host has retired.
   */
  CompletableFuture<Void> end() {
    CompletableFuture<Void> whenBack = new CompletableFuture<>();
    ended = whenBack;
    return whenBack;
  }

  /**
   * Takes back what was not returned in time; called every few milliseconds.
   *
   * @param takenSlots slots of the own runners that are in use or rest
   */
  void tick(int takenSlots) {
    long nowMs = clock.nowMs();
    lent.forEach(
        (permit, entry) -> {
          if (entry.untilMs() <= nowMs && lent.remove(permit) != null) {
            entry.slot().giveBack(SlotEnd.FAILED);
          }
        });
    CompletableFuture<Void> ending = ended;
    if (ending != null && grantsUnderWay.get() == 0 && lent.isEmpty() && takenSlots == 0) {
      ending.complete(null);
    }
  }

  private static Envelope.Builder reply(SlotReply.Builder reply) {
    return Envelope.newBuilder().setSlotReply(reply);
  }
}
