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
import org.wheatwall.core.request.decision.RetryBudget;
import org.wheatwall.core.request.decision.RunnerPool;
import org.wheatwall.core.request.decision.ServiceTimeEstimator;
import org.wheatwall.core.request.decision.SlotCooldown;
import org.wheatwall.core.request.model.Runner;
import org.wheatwall.core.request.model.ServiceSpec;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.Addresses;

/**
 * The slots and the request queue of one service on this entry host. All fields are guarded by this
 * object's lock. Futures are completed without holding the lock.
 */
final class ServiceSlots {
  private final String service;
  private final Clock clock;
  private final RunnerPool pool;
  private ServiceSpec spec = ServiceSpec.DEFAULT;
  private FairQueue<SlotWaiter> queue;
  private RetryBudget retryBudget;
  private final ServiceTimeEstimator holdTime = new ServiceTimeEstimator();
  private final SlotCooldown cooldown = new SlotCooldown();
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
    retryBudget.onFirstAttempt();
  }

  synchronized boolean tryAcquireRetry() {
    return retryBudget.tryAcquire();
  }

  synchronized void setOwned(
      Collection<Runner> owned, Set<String> takenOver, long takenOverFromMs) {
    pool.setOwned(owned, takenOver, takenOverFromMs, clock.nowMs());
    addresses.clear();
  }

  synchronized void enableTakenOver(String runner) {
    pool.enableTakenOver(runner, clock.nowMs());
  }

  /**
   * Acquires a slot for a request of this host. The future fails with a {@link Refusal} if the
   * request does not run.
   */
  CompletableFuture<Slot> acquire(
      String workspace,
      int weight,
      Set<String> avoidedRunners,
      long deadlineMs,
      boolean mayUseOwnSlots) {
    long nowMs = clock.nowMs();
    SlotWaiter waiter;
    synchronized (this) {
      long latestSendMs = holdTime.latestSendMs(nowMs, deadlineMs);
      if (nowMs + expectedWaitMs() > latestSendMs) {
        return CompletableFuture.failedFuture(overloaded("the queue is longer than the deadline"));
      }
      waiter =
          new SlotWaiter(
              workspace, weight, avoidedRunners, latestSendMs, true, new CompletableFuture<>());
    }
    return acquireOrEnqueue(waiter, mayUseOwnSlots);
  }

  /** Gives {@code waiter} a free slot, or puts it into the fair queue. */
  CompletableFuture<Slot> acquireOrEnqueue(SlotWaiter waiter, boolean mayUseOwnSlots) {
    long nowMs = clock.nowMs();
    Optional<SlotWaiter> displaced;
    synchronized (this) {
      Optional<Runner> free =
          mayUseOwnSlots && queue.size() == 0
              ? pool.acquire(waiter.avoidedRunners(), nowMs)
              : Optional.empty();
      if (free.isPresent()) {
        return CompletableFuture.completedFuture(newSlot(free.get(), nowMs));
      }
      displaced = queue.add(waiter.workspace(), waiter.weight(), waiter, waiter.latestSendMs());
      localQueued += waiter.local() ? 1 : 0;
      displaced.ifPresent(this::onDequeued);
    }
    displaced.ifPresent(
        dropped -> dropped.slot().completeExceptionally(overloaded("the queue is full")));
    if (mayUseOwnSlots) {
      dispatch();
    }
    return waiter.slot();
  }

  private void onDequeued(SlotWaiter waiter) {
    localQueued -= waiter.local() ? 1 : 0;
  }

  /** Gives free slots to waiting requests. */
  void dispatch() {
    List<Match> matches = new ArrayList<>();
    List<SlotWaiter> expired = new ArrayList<>();
    synchronized (this) {
      long nowMs = clock.nowMs();
      while (queue.size() > 0) {
        Optional<Runner> runner = pool.acquire(Set.of(), nowMs);
        if (runner.isEmpty()) {
          break;
        }
        Optional<SlotWaiter> next = pollInTime(nowMs, waiter -> true, expired);
        if (next.isEmpty()) {
          pool.release(runner.get().name());
          break;
        }
        SlotWaiter waiter = next.get();
        matches.add(
            new Match(
                waiter,
                newSlot(preferNotAvoided(runner.get(), waiter.avoidedRunners(), nowMs), nowMs)));
      }
    }
    expired.forEach(this::rejectExpired);
    matches.forEach(match -> deliver(match.slot(), match.waiter()));
  }

  private Optional<SlotWaiter> pollInTime(
      long nowMs, Predicate<SlotWaiter> wanted, List<SlotWaiter> expired) {
    Optional<SlotWaiter> next = queue.poll(wanted);
    next.ifPresent(this::onDequeued);
    while (next.isPresent() && next.get().latestSendMs() <= nowMs) {
      expired.add(next.get());
      next = queue.poll(wanted);
      next.ifPresent(this::onDequeued);
    }
    return next;
  }

  // The waiter may have been cancelled in the meantime; its slot must not be lost.
  private static void deliver(Slot slot, SlotWaiter waiter) {
    if (!waiter.slot().complete(slot)) {
      slot.release(SlotOutcome.DONE);
    }
  }

  // Prefers a runner that has not failed the request before, if one has a free slot.
  private Runner preferNotAvoided(Runner runner, Set<String> avoidedRunners, long nowMs) {
    if (!avoidedRunners.contains(runner.name())) {
      return runner;
    }
    Optional<Runner> other = pool.acquire(avoidedRunners, nowMs);
    other.ifPresent(found -> pool.release(runner.name()));
    return other.orElse(runner);
  }

  /**
   * Gives a slot lent by another entry host to the next local waiter, or returns it at once. It is
   * never lent again, so that hosts cannot wait for each other in a cycle.
   */
  void offerBorrowed(Slot slot) {
    Optional<SlotWaiter> waiter;
    List<SlotWaiter> expired = new ArrayList<>();
    synchronized (this) {
      waiter = pollInTime(clock.nowMs(), SlotWaiter::local, expired);
    }
    expired.forEach(this::rejectExpired);
    if (waiter.isPresent()) {
      deliver(slot, waiter.get());
    } else {
      slot.release(SlotOutcome.DONE);
    }
  }

  /**
   * Frees slots whose cooldown has ended, and rejects waiting requests that can no longer be
   * answered in time.
   */
  void expire() {
    List<SlotWaiter> expired;
    synchronized (this) {
      cooldown.removeExpired(clock.nowMs()).forEach(pool::release);
      expired = queue.expire(clock.nowMs());
      expired.forEach(this::onDequeued);
    }
    expired.forEach(this::rejectExpired);
  }

  private void rejectExpired(SlotWaiter waiter) {
    waiter.slot().completeExceptionally(overloaded("no slot came free in time"));
  }

  /**
   * Returns how many more slots to request from other entry hosts now, with at most {@code
   * maxPending} requests pending in all.
   */
  synchronized int slotsToBorrow(int maxPending) {
    return Math.max(0, Math.min(localQueued, maxPending) - pendingBorrows);
  }

  /** Returns the next request of this host in the fair queue. */
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

  /** Returns the delay after which a refused caller should retry, seconds. */
  synchronized int retryAfterSeconds() {
    return (int) Math.max(1, Math.ceil(expectedWaitMs() / 1000));
  }

  private double expectedWaitMs() {
    return queue.size() * holdTime.meanMs() / Math.max(1, pool.takenSlots());
  }

  private Slot newSlot(Runner runner, long acquiredMs) {
    return new Slot(
        runner.name(),
        addresses.computeIfAbsent(runner.address(), Addresses::parse),
        true,
        outcome -> {
          onSlotReleased(runner.name(), outcome, acquiredMs);
          dispatch();
        });
  }

  private synchronized void onSlotReleased(String runner, SlotOutcome outcome, long acquiredMs) {
    long nowMs = clock.nowMs();
    double durationMs = nowMs - acquiredMs;
    pool.onResult(runner, outcome == SlotOutcome.DONE, durationMs, nowMs);
    if (outcome == SlotOutcome.LOST) {
      cooldown.add(runner, durationMs, holdTime.upperEstimateMs(), nowMs);
    } else {
      pool.release(runner);
    }
    // The duration of a lost request is unknown; it counts only if it already exceeds the mean.
    if (outcome != SlotOutcome.LOST || durationMs > holdTime.meanMs()) {
      holdTime.recordDuration(durationMs);
    }
  }

  private Refusal overloaded(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "service " + service + ": " + detail,
        "repeat after the time in Retry-After");
  }
}
