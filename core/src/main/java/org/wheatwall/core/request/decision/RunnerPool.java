package org.wheatwall.core.request.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.wheatwall.core.request.model.Runner;

/**
 * The runners of one service whose slots this entry host allocates, and the number of slots taken.
 * Every runner has one owner among the entry hosts of its zone; only the owner counts its slots and
 * lends some to other entry hosts, which keeps their total within the runner's limit.
 *
 * <p>Not thread-safe; the owner must synchronize access.
 */
public final class RunnerPool {
  private static final int MAX_EJECTED_PERCENT = 50;
  private static final int FAILURES_TO_EJECT = 5;
  private static final long EJECT_MS = 5_000;
  private static final long SLOW_START_MS = 2_000;
  private static final int MAX_CANDIDATES = 3;
  private static final double MEAN_GAIN = 0.125;
  private static final double SLOW_FACTOR = 2;

  // Differences below this are noise of the network and of this process.
  private static final double MIN_SLOW_MS = 10;

  private final Map<String, PooledRunner> runnersByName = new HashMap<>();
  private final SplittableRandom random;
  private List<PooledRunner> runnerList = List.of();
  private double meanMs = -1;

  private static final class PooledRunner {
    private Runner runner;
    private int taken;
    private long usableFromMs;
    private long addedMs;
    private int consecutiveFailures;
    private long ejectedUntilMs;
    private double meanMs = -1;

    private PooledRunner(Runner runner) {
      this.runner = runner;
    }
  }

  /** Creates an empty pool whose random choices use {@code seed}. */
  public RunnerPool(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Sets the runners that this entry host owns.
   *
   * @param takenOverFromMs when the slots of runners that another entry host owned before become
   *     usable; until then requests of that host may still be in flight
   */
  public void setOwned(
      Collection<Runner> owned, Set<String> takenOver, long takenOverFromMs, long nowMs) {
    Map<String, Runner> next = new HashMap<>();
    owned.forEach(runner -> next.put(runner.name(), runner));
    runnersByName
        .values()
        .removeIf(pooled -> !next.containsKey(pooled.runner.name()) && pooled.taken == 0);
    for (PooledRunner pooled : runnersByName.values()) {
      Runner runner = next.remove(pooled.runner.name());
      pooled.runner = runner != null ? runner : draining(pooled.runner);
    }
    for (Runner runner : next.values()) {
      PooledRunner pooled = new PooledRunner(runner);
      pooled.addedMs = nowMs;
      pooled.usableFromMs = takenOver.contains(runner.name()) ? takenOverFromMs : nowMs;
      runnersByName.put(runner.name(), pooled);
    }
    runnerList = List.copyOf(runnersByName.values());
  }

  /** Makes a runner that was taken over usable now. */
  public void enableTakenOver(String runnerName, long nowMs) {
    PooledRunner pooled = runnersByName.get(runnerName);
    if (pooled != null) {
      pooled.usableFromMs = Math.min(pooled.usableFromMs, nowMs);
    }
  }

  /** Takes a slot of the least loaded of a few randomly chosen runners; empty if none is usable. */
  public Optional<Runner> acquire(Set<String> avoid, long nowMs) {
    PooledRunner best = null;
    int considered = 0;
    int count = runnerList.size();
    int start = count == 0 ? 0 : random.nextInt(count);
    for (int i = 0; i < count && considered < MAX_CANDIDATES; i++) {
      PooledRunner pooled = runnerList.get((start + i) % count);
      boolean ejected = pooled.ejectedUntilMs > nowMs && mayEject(nowMs);
      if (ejected || avoid.contains(pooled.runner.name()) || free(pooled, nowMs) <= 0) {
        continue;
      }
      considered++;
      if (best == null || pooled.taken < best.taken) {
        best = pooled;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    best.taken++;
    return Optional.of(best.runner);
  }

  /** Returns a slot to the pool. */
  public void release(String runnerName) {
    PooledRunner pooled = runnersByName.get(runnerName);
    if (pooled != null && pooled.taken > 0) {
      pooled.taken--;
    }
  }

  /**
   * Records the result and duration, in milliseconds, of a request to a runner. A runner that keeps
   * failing is ejected for a while, one that is much slower than the others gets fewer requests.
   */
  public void onResult(String runnerName, boolean success, double tookMs, long nowMs) {
    PooledRunner pooled = runnersByName.get(runnerName);
    if (pooled == null) {
      return;
    }
    recordTime(pooled, tookMs);
    if (success) {
      pooled.consecutiveFailures = 0;
      pooled.ejectedUntilMs = 0;
      return;
    }
    pooled.consecutiveFailures++;
    if (pooled.consecutiveFailures >= FAILURES_TO_EJECT) {
      pooled.ejectedUntilMs = nowMs + EJECT_MS;
      // After the ejection time one more failure ejects the runner again.
      pooled.consecutiveFailures = FAILURES_TO_EJECT - 1;
    }
  }

  private void recordTime(PooledRunner pooled, double tookMs) {
    pooled.meanMs =
        pooled.meanMs < 0 ? tookMs : pooled.meanMs + MEAN_GAIN * (tookMs - pooled.meanMs);
    meanMs = meanMs < 0 ? tookMs : meanMs + MEAN_GAIN / runnerList.size() * (tookMs - meanMs);
  }

  // A runner much slower than the others gets slots in proportion to its speed, but at least one,
  // so that its recovery is noticed. If all are equally slow, their work is the cause and not a
  // fault.
  private int limitBySpeed(PooledRunner pooled) {
    double slowFromMs = Math.max(MIN_SLOW_MS, SLOW_FACTOR * meanMs);
    if (pooled.meanMs <= slowFromMs) {
      return pooled.runner.slots();
    }
    return Math.max(1, (int) (pooled.runner.slots() * slowFromMs / pooled.meanMs));
  }

  /** Returns the number of slots that can be taken now. */
  public int freeSlots(long nowMs) {
    int free = 0;
    for (PooledRunner pooled : runnersByName.values()) {
      free += Math.max(0, free(pooled, nowMs));
    }
    return free;
  }

  /** Returns the number of slots taken. */
  public int takenSlots() {
    return runnersByName.values().stream().mapToInt(pooled -> pooled.taken).sum();
  }

  /** Returns the number of slots taken of one runner. */
  public int takenSlots(String runnerName) {
    PooledRunner pooled = runnersByName.get(runnerName);
    return pooled == null ? 0 : pooled.taken;
  }

  /** Returns the names of the runners in the pool. */
  public Set<String> runnerNames() {
    return Set.copyOf(runnersByName.keySet());
  }

  private static Runner draining(Runner runner) {
    return new Runner(
        runner.name(), runner.service(), runner.zone(), runner.address(), true, runner.slots());
  }

  private int free(PooledRunner pooled, long nowMs) {
    if (pooled.runner.draining() || pooled.usableFromMs > nowMs) {
      return 0;
    }
    int limit = limitBySpeed(pooled);
    long age = nowMs - pooled.addedMs;
    if (age < SLOW_START_MS) {
      limit = Math.max(1, (int) (limit * age / SLOW_START_MS));
    }
    return limit - pooled.taken;
  }

  // Avoiding most runners would overload the rest, so ejections are ignored above a share of
  // ejected runners.
  private boolean mayEject(long nowMs) {
    long ejected =
        runnersByName.values().stream().filter(pooled -> pooled.ejectedUntilMs > nowMs).count();
    return ejected * 100 <= (long) runnersByName.size() * MAX_EJECTED_PERCENT;
  }
}
