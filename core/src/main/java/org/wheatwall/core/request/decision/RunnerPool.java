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
 * The runners of one service whose slots this entry host gives out, and how many are taken. Every
 * runner has one owner among the entry hosts of its zone; the owner alone counts its slots, lends
 * some to other entry hosts, and so keeps their sum within the runner's limit.
 *
 * <p>Not thread-safe; its owner guards it.
 */
public final class RunnerPool {
  private static final int MAX_EJECTED_PERCENT = 50;
  private static final int FAILURES_TO_EJECT = 5;
  private static final long EJECT_MS = 5_000;
  private static final long SLOW_START_MS = 2_000;
  private static final int CANDIDATES = 3;
  private static final double MEAN_GAIN = 0.125;
  private static final double SLOW_FACTOR = 2;

  // Below this a difference is noise of the network and of this process.
  private static final double MIN_SLOW_MS = 10;

  private final Map<String, Entry> entries = new HashMap<>();
  private final SplittableRandom random;
  private List<Entry> entryList = List.of();
  private double meanMs = -1;

  private static final class Entry {
    private Runner runner;
    private int taken;
    private long usableFromMs;
    private long addedMs;
    private int consecutiveFailures;
    private long ejectedUntilMs;
    private double meanMs = -1;

    private Entry(Runner runner) {
      this.runner = runner;
    }
  }

  /** Creates an empty pool whose choices are drawn from {@code seed}. */
  public RunnerPool(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Sets the runners that this entry host owns.
   *
   * @param takenOverFromMs when the slots of runners that another entry host owned before may be
   *     used; until then its requests may still be in flight
   */
  public void setOwned(
      Collection<Runner> owned, Set<String> takenOver, long takenOverFromMs, long nowMs) {
    Map<String, Runner> next = new HashMap<>();
    owned.forEach(runner -> next.put(runner.name(), runner));
    entries.values().removeIf(entry -> !next.containsKey(entry.runner.name()) && entry.taken == 0);
    for (Entry entry : entries.values()) {
      Runner runner = next.remove(entry.runner.name());
      entry.runner = runner != null ? runner : draining(entry.runner);
    }
    for (Runner runner : next.values()) {
      Entry entry = new Entry(runner);
      entry.addedMs = nowMs;
      entry.usableFromMs = takenOver.contains(runner.name()) ? takenOverFromMs : nowMs;
      entries.put(runner.name(), entry);
    }
    entryList = List.copyOf(entries.values());
  }

  /** Allows a runner that was taken over to be used now. */
  public void enableTakenOver(String runnerName, long nowMs) {
    Entry entry = entries.get(runnerName);
    if (entry != null) {
      entry.usableFromMs = Math.min(entry.usableFromMs, nowMs);
    }
  }

  /** Takes a slot of the least loaded of a few runners drawn at random. */
  public Optional<Runner> acquire(Set<String> avoid, long nowMs) {
    Entry best = null;
    int drawn = 0;
    int count = entryList.size();
    int start = count == 0 ? 0 : random.nextInt(count);
    for (int i = 0; i < count && drawn < CANDIDATES; i++) {
      Entry entry = entryList.get((start + i) % count);
      boolean ejected = entry.ejectedUntilMs > nowMs && mayEject(nowMs);
      if (ejected || avoid.contains(entry.runner.name()) || free(entry, nowMs) <= 0) {
        continue;
      }
      drawn++;
      if (best == null || entry.taken < best.taken) {
        best = entry;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    best.taken++;
    return Optional.of(best.runner);
  }

  /** Gives a slot back. */
  public void release(String runnerName) {
    Entry entry = entries.get(runnerName);
    if (entry != null && entry.taken > 0) {
      entry.taken--;
    }
  }

  /**
   * Notes how a request to a runner went and how long it took, milliseconds; one that keeps failing
   * gets no work for a while, one much slower than the others gets less.
   */
  public void onResult(String runnerName, boolean success, double tookMs, long nowMs) {
    Entry entry = entries.get(runnerName);
    if (entry == null) {
      return;
    }
    recordTime(entry, tookMs);
    if (success) {
      entry.consecutiveFailures = 0;
      entry.ejectedUntilMs = 0;
      return;
    }
    entry.consecutiveFailures++;
    if (entry.consecutiveFailures >= FAILURES_TO_EJECT) {
      entry.ejectedUntilMs = nowMs + EJECT_MS;
      // After the pause one request is let through; one more failure ejects again.
      entry.consecutiveFailures = FAILURES_TO_EJECT - 1;
    }
  }

  private void recordTime(Entry entry, double tookMs) {
    entry.meanMs = entry.meanMs < 0 ? tookMs : entry.meanMs + MEAN_GAIN * (tookMs - entry.meanMs);
    meanMs = meanMs < 0 ? tookMs : meanMs + MEAN_GAIN / entryList.size() * (tookMs - meanMs);
  }

  // A runner much slower than the others gets slots in proportion to its speed, and never less than
  // one, by which its recovery shows. If all are slow alike, it is their work and not a fault.
  private int limitBySpeed(Entry entry) {
    double slowFromMs = Math.max(MIN_SLOW_MS, SLOW_FACTOR * meanMs);
    if (entry.meanMs <= slowFromMs) {
      return entry.runner.slots();
    }
    return Math.max(1, (int) (entry.runner.slots() * slowFromMs / entry.meanMs));
  }

  /** Returns the slots that could be taken now. */
  public int freeSlots(long nowMs) {
    int free = 0;
    for (Entry entry : entries.values()) {
      free += Math.max(0, free(entry, nowMs));
    }
    return free;
  }

  /** Returns the slots taken. */
  public int takenSlots() {
    return entries.values().stream().mapToInt(entry -> entry.taken).sum();
  }

  /** Returns the slots taken of one runner. */
  public int takenSlots(String runnerName) {
    Entry entry = entries.get(runnerName);
    return entry == null ? 0 : entry.taken;
  }

  /** Returns the names of the runners in the pool. */
  public Set<String> runnerNames() {
    return Set.copyOf(entries.keySet());
  }

  private static Runner draining(Runner runner) {
    return new Runner(
        runner.name(), runner.service(), runner.zone(), runner.address(), true, runner.slots());
  }

  private int free(Entry entry, long nowMs) {
    if (entry.runner.draining() || entry.usableFromMs > nowMs) {
      return 0;
    }
    int limit = limitBySpeed(entry);
    long age = nowMs - entry.addedMs;
    if (age < SLOW_START_MS) {
      limit = Math.max(1, (int) (limit * age / SLOW_START_MS));
    }
    return limit - entry.taken;
  }

  // Ejecting most of the runners would bury the rest, so beyond a share nobody is ejected.
  private boolean mayEject(long nowMs) {
    long ejected = entries.values().stream().filter(e -> e.ejectedUntilMs > nowMs).count();
    return ejected * 100 <= (long) entries.size() * MAX_EJECTED_PERCENT;
  }
}
