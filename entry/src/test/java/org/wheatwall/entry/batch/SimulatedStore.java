package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFailure;

/**
 * The platform's log in simulated time: conditions, producers with epochs and numbers, lost and
 * late calls, outages for all or for single hosts, dropped history.
 */
final class SimulatedStore {
  private static final int TIMEOUT_MS = 700;
  private static final int MAX_EXTRA_DELAY_MS = 6000;

  private final VirtualTime time;
  private final List<KeyedRecord> records = new ArrayList<>();
  private final TreeMap<String, KeyedLog.NewestRecord> newest = new TreeMap<>();
  private final Map<String, Producer> producers = new HashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final Set<SimulatedHost> partitioned = new HashSet<>();
  private final Map<SimulatedHost, Long> confirmedAtMs = new HashMap<>();
  private long firstOffset;
  private boolean down;
  private boolean unresponsive;
  private double lossProbability;
  private int latencyMs = 4;

  private static final class Producer {
    private long epoch = -1;
    private long lastSequence;
    private final Map<Long, Long> offsetBySequence = new LinkedHashMap<>();
  }

  private record PendingRead(
      long from, CompletableFuture<KeyedLog.LogPage> result, SimulatedHost host) {}

  SimulatedStore(VirtualTime time) {
    this.time = time;
  }

  void setDown(boolean next, boolean silently) {
    down = next;
    unresponsive = silently;
  }

  void setPartitioned(SimulatedHost host, boolean next) {
    if (next) {
      partitioned.add(host);
    } else {
      partitioned.remove(host);
    }
  }

  void setLossProbability(double next) {
    lossProbability = next;
  }

  void setLatencyMs(int next) {
    latencyMs = next;
  }

  /** Drops what was appended so far, but for the newest record of each key. */
  void dropHistory() {
    firstOffset = records.size();
  }

  KeyedLog logOf(SimulatedHost host) {
    return new KeyedLog() {
      @Override
      public CompletableFuture<Appended> append(AppendCall call) {
        long sentMs = time.nowMs();
        return call(host, true, () -> recordConfirmation(host, sentMs, call, doAppend(call)));
      }

      @Override
      public CompletableFuture<LogPage> read(long from, int waitMs) {
        return SimulatedStore.this.read(host, from, waitMs);
      }

      @Override
      public CompletableFuture<NewestPage> newest(Optional<String> afterKey) {
        return call(host, false, () -> doNewest(afterKey));
      }
    };
  }

  private KeyedLog.Appended recordConfirmation(
      SimulatedHost host, long sentMs, KeyedLog.AppendCall call, KeyedLog.Appended appended) {
    if (call.producer().equals(BatchDecider.PRODUCER)) {
      confirmedAtMs.merge(host, sentMs, Math::max);
    }
    return appended;
  }

  /** Returns when the latest record of a host as decider was sent that was taken. */
  long confirmedAtMs(SimulatedHost host) {
    return confirmedAtMs.getOrDefault(host, Long.MIN_VALUE / 2);
  }

  private boolean isUnreachable(SimulatedHost host) {
    return down || partitioned.contains(host);
  }

  private <T> CompletableFuture<T> call(SimulatedHost host, boolean writes, Supplier<T> work) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (isUnreachable(host)) {
      fail(answer, host);
      return answer;
    }
    boolean lost = writes && time.random().nextDouble() < lossProbability;
    boolean late = lost && time.random().nextBoolean();
    long delay = late ? 1000 + time.random().nextInt(MAX_EXTRA_DELAY_MS) : oneWayDelayMs();
    time.after(
        delay,
        () -> {
          try {
            T result = work.get();
            if (!lost) {
              time.after(oneWayDelayMs(), () -> answer.complete(result));
            }
          } catch (LogFailure failure) {
            if (!lost) {
              time.after(oneWayDelayMs(), () -> answer.completeExceptionally(failure));
            }
          }
        });
    if (lost) {
      time.after(
          TIMEOUT_MS,
          () -> answer.completeExceptionally(new LogFailure(LogFailure.Kind.UNKNOWN, "no answer")));
    }
    return answer;
  }

  private void fail(CompletableFuture<?> answer, SimulatedHost host) {
    boolean busy = down && !unresponsive;
    LogFailure.Kind kind = busy ? LogFailure.Kind.NOT_DONE : LogFailure.Kind.UNKNOWN;
    time.after(
        busy ? oneWayDelayMs() : TIMEOUT_MS,
        () -> answer.completeExceptionally(new LogFailure(kind, "down for " + host.name())));
  }

  private int oneWayDelayMs() {
    return 1 + time.random().nextInt(latencyMs);
  }

  private KeyedLog.Appended doAppend(KeyedLog.AppendCall call) {
    Producer producer = producers.computeIfAbsent(call.producer(), key -> new Producer());
    if (call.epoch() < producer.epoch) {
      throw new LogFailure(LogFailure.Kind.FENCED, "epoch " + producer.epoch);
    }
    boolean sameEpoch = call.epoch() == producer.epoch;
    Long repeated = sameEpoch ? producer.offsetBySequence.get(call.sequence()) : null;
    if (repeated != null) {
      return new KeyedLog.Appended(repeated);
    }
    if (sameEpoch && call.sequence() != producer.lastSequence + 1) {
      throw new LogFailure(
          LogFailure.Kind.OUT_OF_SEQUENCE, "wanted " + (producer.lastSequence + 1));
    }
    if (call.onlyAt().isPresent() && call.onlyAt().getAsLong() != records.size()) {
      throw new LogFailure(LogFailure.Kind.MOVED, "ends at " + records.size());
    }
    if (!sameEpoch) {
      producer.offsetBySequence.clear();
    }
    producer.epoch = call.epoch();
    producer.lastSequence = call.sequence();
    long offset = records.size();
    producer.offsetBySequence.put(call.sequence(), offset);
    call.records().forEach(this::store);
    completePendingReads();
    return new KeyedLog.Appended(offset);
  }

  private void store(KeyedRecord record) {
    long offset = records.size();
    records.add(record);
    if (record.value().length == 0) {
      newest.remove(record.key());
    } else {
      newest.put(record.key(), new KeyedLog.NewestRecord(record, offset));
    }
  }

  private KeyedLog.NewestPage doNewest(Optional<String> afterKey) {
    List<KeyedLog.NewestRecord> page = new ArrayList<>();
    Map<String, KeyedLog.NewestRecord> rest =
        afterKey.isPresent() ? newest.tailMap(afterKey.get(), false) : newest;
    for (KeyedLog.NewestRecord record : rest.values()) {
      if (page.size() == 20) {
        return new KeyedLog.NewestPage(page, true, records.size());
      }
      page.add(record);
    }
    return new KeyedLog.NewestPage(page, false, records.size());
  }

  private CompletableFuture<KeyedLog.LogPage> read(SimulatedHost host, long from, int waitMs) {
    if (isUnreachable(host)) {
      CompletableFuture<KeyedLog.LogPage> failed = new CompletableFuture<>();
      fail(failed, host);
      return failed;
    }
    CompletableFuture<KeyedLog.LogPage> answer = new CompletableFuture<>();
    time.after(
        oneWayDelayMs(),
        () -> {
          if (from < records.size() || waitMs == 0 || from < firstOffset) {
            completeRead(new PendingRead(from, answer, host));
            return;
          }
          PendingRead waiter = new PendingRead(from, answer, host);
          pendingReads.add(waiter);
          time.after(waitMs, () -> completePendingRead(waiter));
        });
    return answer;
  }

  private void completePendingReads() {
    List<PendingRead> woken = List.copyOf(pendingReads);
    woken.forEach(this::completePendingRead);
  }

  private void completePendingRead(PendingRead waiter) {
    if (pendingReads.remove(waiter)) {
      completeRead(waiter);
    }
  }

  private void completeRead(PendingRead waiter) {
    time.after(
        oneWayDelayMs(),
        () -> {
          if (isUnreachable(waiter.host())) {
            fail(waiter.result(), waiter.host());
          } else if (waiter.from() < firstOffset) {
            waiter
                .result()
                .completeExceptionally(new LogFailure(LogFailure.Kind.HISTORY_GONE, "gone"));
          } else {
            int end = records.size();
            int from = (int) Math.min(waiter.from(), end);
            List<KeyedRecord> page = List.copyOf(records.subList(from, end));
            waiter.result().complete(new KeyedLog.LogPage(waiter.from(), end, page));
          }
        });
  }
}
