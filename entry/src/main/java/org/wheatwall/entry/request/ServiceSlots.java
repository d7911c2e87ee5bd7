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
 * The slots and the queue of one service on this entry host. Every field is guarded by this
 * object's lock; futures are completed outside it.
 */
final class ServiceSlots {
  private final String service;
  private final Clock clock;
  private final RunnerPool pool;
  private ServiceSpec spec = ServiceSpec.DEFAULT;
  private FairQueue<SlotWaiter> queue;
  private RetryBudget retries;
  private final ServiceTimeEstimator holdTime = new ServiceTimeEstimator();
  private final SlotCooldown resting = new SlotCooldown();
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private int localQueued;
  private int borrowed;

  private record Match(SlotWaiter waiter, Slot slot) {}

  ServiceSlots(String service, Clock clock, long seed) {
    this.service = service;
    this.clock = clock;
    this.pool = new RunnerPool(seed);
    this.queue = new FairQueue<>(spec.queueLimit());
    this.retries = new RetryBudget(spec.retryPercent());
  }

  synchronized void configure(ServiceSpec next) {
    spec = next;
    retries = new RetryBudget(next.retryPercent());
    if (queue.size() == 0) {
      queue = new FairQueue<>(next.queueLimit());
    }
  }

  synchronized ServiceSpec spec() {
    return spec;
  }

  synchronized void onFirstTry() {
    retries.onFirstAttempt();
  }

  synchronized boolean tryRetry() {
    return retries.tryAcquire();
  }

  synchronized void setOwned(Collection<Runner> owned, Set<String> takenOver, long fromMs) {
    pool.setOwned(owned, takenOver, fromMs, clock.nowMs());
    addresses.clear();
  }

  synchronized void releaseTakenOver(String runner) {
    pool.enableTakenOver(runner, clock.nowMs());
  }

  /** Waits for a slot; the future fails with a refusal that means "not run". */
  CompletableFuture<Slot> acquire(
      String workspace, int weight, Set<String> avoid, long deadlineMs, boolean mayTake) {
    long nowMs = clock.nowMs();
    SlotWaiter waiter;
    synchronized (this) {
      long latestStartMs = holdTime.latestSendMs(nowMs, deadlineMs);
      if (nowMs + expectedWaitMs() > latestStartMs) {
        return CompletableFuture.failedFuture(overloaded("the queue is longer than the deadline"));
      }
      waiter =
          new SlotWaiter(workspace, weight, avoid, latestStartMs, true, new CompletableFuture<>());
    }
    return await(waiter, mayTake);
  }

  /** Gives {@code waiter} a free slot, or lets it wait for one in the fair queue. */
  CompletableFuture<Slot> await(SlotWaiter waiter, boolean mayTake) {
    long nowMs = clock.nowMs();
    Optional<SlotWaiter> displaced;
    synchronized (this) {
      Optional<Runner> free =
          mayTake && queue.size() == 0 ? pool.acquire(waiter.avoid(), nowMs) : Optional.empty();
      if (free.isPresent()) {
        return CompletableFuture.completedFuture(slot(free.get(), nowMs));
      }
      displaced = queue.add(waiter.workspace(), waiter.weight(), waiter, waiter.latestStartMs());
      localQueued += waiter.local() ? 1 : 0;
      displaced.ifPresent(this::noteGone);
    }
    displaced.ifPresent(
        loser -> loser.slot().completeExceptionally(overloaded("the queue is full")));
    if (mayTake) {
      dispatch();
    }
    return waiter.slot();
  }

  private void noteGone(SlotWaiter waiter) {
    localQueued -= waiter.local() ? 1 : 0;
  }

  /** Gives free slots to those who wait. */
  void dispatch() {
    List<Match> matches = new ArrayList<>();
    List<SlotWaiter> late = new ArrayList<>();
    synchronized (this) {
      long nowMs = clock.nowMs();
      while (queue.size() > 0) {
        Optional<Runner> runner = pool.acquire(Set.of(), nowMs);
        if (runner.isEmpty()) {
          break;
        }
        Optional<SlotWaiter> next = pollInTime(nowMs, waiter -> true, late);
        if (next.isEmpty()) {
          pool.release(runner.get().name());
          break;
        }
        SlotWaiter waiter = next.get();
        matches.add(new Match(waiter, slot(better(runner.get(), waiter.avoid(), nowMs), nowMs)));
      }
    }
    late.forEach(this::refuseLate);
    matches.forEach(match -> hand(match.slot(), match.waiter()));
  }

  private Optional<SlotWaiter> pollInTime(
      long nowMs, Predicate<SlotWaiter> wanted, List<SlotWaiter> late) {
    Optional<SlotWaiter> next = queue.poll(wanted);
    next.ifPresent(this::noteGone);
    while (next.isPresent() && next.get().latestStartMs() <= nowMs) {
      late.add(next.get());
      next = queue.poll(wanted);
      next.ifPresent(this::noteGone);
    }
    return next;
  }

  // A waiter may have given up in between; its slot must not be lost.
  private static void hand(Slot slot, SlotWaiter waiter) {
    if (!waiter.slot().complete(slot)) {
      slot.giveBack(SlotEnd.DONE);
    }
  }

  // A request that a runner has failed goes to another one if there is any.
  private Runner better(Runner runner, Set<String> avoid, long nowMs) {
    if (!avoid.contains(runner.name())) {
      return runner;
    }
    Optional<Runner> other = pool.acquire(avoid, nowMs);
    other.ifPresent(found -> pool.release(runner.name()));
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
    late.forEach(this::refuseLate);
    if (waiter.isPresent()) {
      hand(slot, waiter.get());
    } else {
      slot.giveBack(SlotEnd.DONE);
    }
  }

  /** Frees the slots that have rested, and fails those whose answer would come too late. */
  void expire() {
    List<SlotWaiter> late;
    synchronized (this) {
      resting.removeExpired(clock.nowMs()).forEach(pool::release);
      late = queue.expire(clock.nowMs());
      late.forEach(this::noteGone);
    }
    late.forEach(this::refuseLate);
  }

  private void refuseLate(SlotWaiter waiter) {
    waiter.slot().completeExceptionally(overloaded("no slot came free in time"));
  }

  /** Returns how many more slots to ask other entry hosts for now. */
  synchronized int wantsToBorrow(int most) {
    return Math.max(0, Math.min(localQueued, most) - borrowed);
  }

  /** Returns the request of this host that is next in the fair queue. */
  synchronized Optional<SlotWaiter> nextLocal() {
    return queue.peek(SlotWaiter::local);
  }

  synchronized void borrowing(int change) {
    borrowed += change;
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
  synchronized List<String> busyExcept(Set<String> owned) {
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

  private Slot slot(Runner runner, long takenMs) {
    return new Slot(
        runner.name(),
        addresses.computeIfAbsent(runner.address(), Addresses::parse),
        true,
        end -> {
          takeBack(runner.name(), end, takenMs);
          dispatch();
        });
  }

  private synchronized void takeBack(String runner, SlotEnd end, long takenMs) {
    long nowMs = clock.nowMs();
    double tookMs = nowMs - takenMs;
    pool.onResult(runner, end == SlotEnd.DONE, tookMs, nowMs);
    if (end == SlotEnd.LOST) {
      resting.add(runner, tookMs, holdTime.upperEstimateMs(), nowMs);
    } else {
      pool.release(runner);
    }
    // How long a lost request would have taken is not known; that it took longer than most is.
    if (end != SlotEnd.LOST || tookMs > holdTime.meanMs()) {
      holdTime.recordDuration(tookMs);
    }
  }

  private Refusal overloaded(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "service " + service + ": " + detail,
        "repeat after the time in Retry-After");
  }
}
