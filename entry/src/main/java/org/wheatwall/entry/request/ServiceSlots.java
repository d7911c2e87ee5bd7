package org.wheatwall.entry.request;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.request.decision.FairQueue;
import org.wheatwall.core.request.decision.RestingSlots;
import org.wheatwall.core.request.decision.RetryBudget;
import org.wheatwall.core.request.decision.RunnerPool;
import org.wheatwall.core.request.decision.ServiceTime;
import org.wheatwall.core.request.model.Runner;
import org.wheatwall.core.request.model.ServiceSpec;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.Addresses;

/**
 * The slots and the queue of one service on this entry host. Every field is guarded by this
 * object's lock; futures are completed outside it.
 */
final class ServiceSlots {
  private final String service;
  private final Clock clock;
  private final RunnerPool pool;
  private ServiceSpec spec = ServiceSpec.DEFAULT;
  private FairQueue<SlotWaiter> queue;
  private RetryBudget retryBudget;
  private final ServiceTime holdTime = new ServiceTime();
  private final RestingSlots cooldown = new RestingSlots();
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private int localQueued;
  private int pendingBorrows;

  private record Match(SlotWaiter waiter, Slot slot) {}

  ServiceSlots(String service, Clock clock, long seed) {
    this.service = service;
    this.clock = clock;
    this.pool = new RunnerPool(seed);
    this.queue = new FairQueue<>(spec.queueLimit());
    this.retryBudget = new RetryBudget(spec.retryPercent());
  }

  synchronized void configure(ServiceSpec next) {
    spec = next;
    retryBudget = new RetryBudget(next.retryPercent());
    if (queue.size() == 0) {
      queue = new FairQueue<>(next.queueLimit());
    }
  }

  synchronized ServiceSpec spec() {
    return spec;
  }

  synchronized void onFirstAttempt() {
    retryBudget.onFirstTry();
  }

  synchronized boolean tryAcquireRetry() {
    return retryBudget.tryRetry();
  }

  synchronized void setOwned(Collection<Runner> owned, Set<String> takenOver, long fromMs) {
    pool.setOwned(owned, takenOver, fromMs, clock.nowMs());
    addresses.clear();
  }

  synchronized void enableTakenOver(String runner) {
    pool.releaseTakenOver(runner, clock.nowMs());
  }

  /** Waits for a slot; the future fails with a refusal that means "not run". */
  CompletableFuture<Slot> acquire(
      String workspace, int weight, Set<String> avoid, long deadlineMs, boolean mayTake) {
    long nowMs = clock.nowMs();
    SlotWaiter waiter;
    synchronized (this) {
      long latestStartMs = holdTime.latestStartMs(nowMs, deadlineMs);
      if (nowMs + expectedWaitMs() > latestStartMs) {
        return CompletableFuture.failedFuture(overloaded("the queue is longer than the deadline"));
      }
      waiter =
          new SlotWaiter(workspace, weight, avoid, latestStartMs, true, new CompletableFuture<>());
    }
    return acquireOrEnqueue(waiter, mayTake);
  }

  /** Gives {@code waiter} a free slot, or lets it wait for one in the fair queue. */
  CompletableFuture<Slot> acquireOrEnqueue(SlotWaiter waiter, boolean mayTake) {
    long nowMs = clock.nowMs();
    Optional<SlotWaiter> displaced;
    synchronized (this) {
      Optional<Runner> free =
          mayTake && queue.size() == 0
              ? pool.take(waiter.avoidedRunners(), nowMs)
              : Optional.empty();
      if (free.isPresent()) {
        return CompletableFuture.completedFuture(newSlot(free.get(), nowMs));
      }
      displaced = queue.add(waiter.workspace(), waiter.weight(), waiter, waiter.latestSendMs());
      localQueued += waiter.local() ? 1 : 0;
      displaced.ifPresent(this::onDequeued);
    }
    displaced.ifPresent(
        loser -> loser.slot().completeExceptionally(overloaded("the queue is full")));
    if (mayTake) {
      dispatch();
    }
    return waiter.slot();
  }

  private void onDequeued(SlotWaiter waiter) {
    localQueued -= waiter.local() ? 1 : 0;
  }

  /** Gives free slots to those who wait. */
  void dispatch() {
    List<Match> matches = new ArrayList<>();
    List<SlotWaiter> late = new ArrayList<>();
    synchronized (this) {
      long nowMs = clock.nowMs();
      while (queue.size() > 0) {
        Optional<Runner> runner = pool.take(Set.of(), nowMs);
        if (runner.isEmpty()) {
          break;
        }
        Optional<SlotWaiter> next = pollInTime(nowMs, waiter -> true, late);
        if (next.isEmpty()) {
          pool.giveBack(runner.get().name());
          break;
        }
        SlotWaiter waiter = next.get();
        matches.add(
            new Match(
                waiter,
                newSlot(preferNotAvoided(runner.get(), waiter.avoidedRunners(), nowMs), nowMs)));
      }
    }
    late.forEach(this::rejectExpired);
    matches.forEach(match -> deliver(match.slot(), match.waiter()));
  }

  private Optional<SlotWaiter> pollInTime(
      long nowMs, Predicate<SlotWaiter> wanted, List<SlotWaiter> late) {
    Optional<SlotWaiter> next = queue.poll(wanted);
    next.ifPresent(this::onDequeued);
    while (next.isPresent() && next.get().latestSendMs() <= nowMs) {
      late.add(next.get());
      next = queue.poll(wanted);
      next.ifPresent(this::onDequeued);
    }
    return next;
  }

  // A waiter may have given up in between; its slot must not be lost.
  private static void deliver(Slot slot, SlotWaiter waiter) {
    if (!waiter.slot().complete(slot)) {
      slot.release(SlotOutcome.DONE);
    }
  }

  // A request that a runner has failed goes to another one if there is any.
  private Runner preferNotAvoided(Runner runner, Set<String> avoid, long nowMs) {
    if (!avoid.contains(runner.name())) {
      return runner;
    }
    Optional<Runner> other = pool.take(avoid, nowMs);
    other.ifPresent(found -> pool.giveBack(runner.name()));
    return other.orElse(runner);
  }

  /**
   * Gives a slot that another entry host lent to the next who waits here, or back at once. It is
   * not lent on, so that hosts cannot wait for each other in a circle.
   */
  void offerBorrowed(Slot slot) {
    Optional<SlotWaiter> waiter;
    List<SlotWaiter> late = new ArrayList<>();
    synchronized (this) {
      waiter = pollInTime(clock.nowMs(), SlotWaiter::local, late);
    }
    late.forEach(this::rejectExpired);
    if (waiter.isPresent()) {
      deliver(slot, waiter.get());
    } else {
      slot.release(SlotOutcome.DONE);
    }
  }

  /** Frees the slots that have rested, and fails those whose answer would come too late. */
  void expire() {
    List<SlotWaiter> late;
    synchronized (this) {
      cooldown.takeRested(clock.nowMs()).forEach(pool::giveBack);
      late = queue.expire(clock.nowMs());
      late.forEach(this::onDequeued);
    }
    late.forEach(this::rejectExpired);
  }

  private void rejectExpired(SlotWaiter waiter) {
    waiter.slot().completeExceptionally(overloaded("no slot came free in time"));
  }

  /** Returns how many more slots to ask other entry hosts for now. */
  synchronized int slotsToBorrow(int most) {
    return Math.max(0, Math.min(localQueued, most) - pendingBorrows);
  }

  /** Returns the request of this host that is next in the fair queue. */
  synchronized Optional<SlotWaiter> peekLocal() {
    return queue.peek(SlotWaiter::local);
  }

  synchronized void addPendingBorrows(int change) {
    pendingBorrows += change;
  }

  synchronized int freeSlots() {
    return queue.size() > 0 ? 0 : pool.freeSlots(clock.nowMs());
  }

  synchronized int takenSlots() {
    return pool.takenSlots();
  }

  synchronized int queued() {
    return queue.size();
  }

  synchronized int ownedRunners() {
    return pool.runnerNames().size();
  }

  /** Returns the runners with requests in flight that are not in {@code owned}. */
  synchronized List<String> busyRunnersExcept(Set<String> owned) {
    List<String> busy = new ArrayList<>();
    for (String runner : pool.runnerNames()) {
      if (!owned.contains(runner) && pool.takenSlots(runner) > 0) {
        busy.add(runner);
      }
    }
    return busy;
  }

  /** Returns when a refused caller should come back, seconds. */
  synchronized int retryAfterSeconds() {
    return (int) Math.max(1, Math.ceil(expectedWaitMs() / 1000));
  }

  private double expectedWaitMs() {
    return queue.size() * holdTime.meanMs() / Math.max(1, pool.takenSlots());
  }

  private Slot newSlot(Runner runner, long takenMs) {
    return new Slot(
        runner.name(),
        addresses.computeIfAbsent(runner.address(), Addresses::parse),
        true,
        end -> {
          onSlotReleased(runner.name(), end, takenMs);
          dispatch();
        });
  }

  private synchronized void onSlotReleased(String runner, SlotOutcome end, long takenMs) {
    long nowMs = clock.nowMs();
    double tookMs = nowMs - takenMs;
    pool.onResult(runner, end == SlotOutcome.DONE, tookMs, nowMs);
    if (end == SlotOutcome.LOST) {
      cooldown.rest(runner, tookMs, holdTime.neededMs(), nowMs);
    } else {
      pool.giveBack(runner);
    }
    // How long a lost request would have taken is not known; that it took longer than most is.
    if (end != SlotOutcome.LOST || tookMs > holdTime.meanMs()) {
      holdTime.note(tookMs);
    }
  }

  private Refusal overloaded(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "service " + service + ": " + detail,
        "repeat after the time in Retry-After");
  }
}
