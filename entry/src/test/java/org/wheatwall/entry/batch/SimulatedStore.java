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
 * The platform's log in simulated time: conditional appends, producers with epochs and sequence
 * numbers, lost and delayed calls, outages for all or for single hosts, removed history.
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

  void setDown(boolean isDown, boolean isUnresponsive) {
    down = isDown;
    unresponsive = isUnresponsive;
  }

  boolean isPartitioned(SimulatedHost host) {
    return partitioned.contains(host);
  }

  void setPartitioned(SimulatedHost host, boolean isPartitioned) {
    if (isPartitioned) {
      partitioned.add(host);
    } else {
      partitioned.remove(host);
    }
  }

  void setLossProbability(double probability) {
    lossProbability = probability;
  }

  void setLatencyMs(int maxMs) {
    latencyMs = maxMs;
  }

  /** Removes all records appended so far except the newest of each key. */
  void dropHistory() {
    firstOffset = records.size();
  }

  /** Returns how many records with this key were appended. */
  long countRecords(String key) {
    return records.stream().filter(record -> record.key().equals(key)).count();
  }

  /** Returns whether a key has a value. */
  boolean holds(String key) {
    return newest.containsKey(key);
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

      @Override
      public CompletableFuture<Long> end() {
        return call(host, false, () -> (long) records.size());
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

  /** Returns when a host, as the decider, sent the latest record that the log accepted. */
  long confirmedAtMs(SimulatedHost host) {
    return confirmedAtMs.getOrDefault(host, Long.MIN_VALUE / 2);
  }

  private boolean isUnreachable(SimulatedHost host) {
    return down || partitioned.contains(host);
  }

  private <T> CompletableFuture<T> call(SimulatedHost host, boolean isWrite, Supplier<T> work) {
    CompletableFuture<T> response = new CompletableFuture<>();
    if (isUnreachable(host)) {
      fail(response, host);
      return response;
    }
    boolean isLost = isWrite && time.random().nextDouble() < lossProbability;
    boolean isDelayed = isLost && time.random().nextBoolean();
    long delayMs = isDelayed ? 1000 + time.random().nextInt(MAX_EXTRA_DELAY_MS) : oneWayDelayMs();
    time.after(
        delayMs,
        () -> {
          try {
            T result = work.get();
            if (!isLost) {
              time.after(oneWayDelayMs(), () -> response.complete(result));
            }
          } catch (LogFailure failure) {
            if (!isLost) {
              time.after(oneWayDelayMs(), () -> response.completeExceptionally(failure));
            }
          }
        });
    if (isLost) {
      time.after(
          TIMEOUT_MS,
          () ->
              response.completeExceptionally(
                  new LogFailure(LogFailure.Kind.UNKNOWN, "no response")));
    }
    return response;
  }

  private void fail(CompletableFuture<?> response, SimulatedHost host) {
    boolean rejectsCalls = down && !unresponsive;
    LogFailure.Kind kind = rejectsCalls ? LogFailure.Kind.NOT_DONE : LogFailure.Kind.UNKNOWN;
    time.after(
        rejectsCalls ? oneWayDelayMs() : TIMEOUT_MS,
        () ->
            response.completeExceptionally(
                new LogFailure(kind, "log unavailable for " + host.name())));
  }

  private int oneWayDelayMs() {
    return 1 + time.random().nextInt(latencyMs);
  }

  private KeyedLog.Appended doAppend(KeyedLog.AppendCall call) {
    Producer producer = producers.computeIfAbsent(call.producer(), key -> new Producer());
    if (call.epoch() < producer.epoch) {
      throw new LogFailure(LogFailure.Kind.FENCED, "newer epoch " + producer.epoch);
    }
    boolean sameEpoch = call.epoch() == producer.epoch;
    Long earlierOffset = sameEpoch ? producer.offsetBySequence.get(call.sequence()) : null;
    if (earlierOffset != null) {
      return new KeyedLog.Appended(earlierOffset);
    }
    if (sameEpoch && call.sequence() != producer.lastSequence + 1) {
      throw new LogFailure(
          LogFailure.Kind.OUT_OF_SEQUENCE,
          "expected sequence number " + (producer.lastSequence + 1));
    }
    if (call.expectedEnd().isPresent() && call.expectedEnd().getAsLong() != records.size()) {
      throw new LogFailure(LogFailure.Kind.MOVED, "log ends at " + records.size());
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
    Map<String, KeyedLog.NewestRecord> remaining =
        afterKey.isPresent() ? newest.tailMap(afterKey.get(), false) : newest;
    for (KeyedLog.NewestRecord record : remaining.values()) {
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
    CompletableFuture<KeyedLog.LogPage> response = new CompletableFuture<>();
    time.after(
        oneWayDelayMs(),
        () -> {
          if (from < records.size() || waitMs == 0 || from < firstOffset) {
            completeRead(new PendingRead(from, response, host));
            return;
          }
          PendingRead pendingRead = new PendingRead(from, response, host);
          pendingReads.add(pendingRead);
          time.after(waitMs, () -> completePendingRead(pendingRead));
        });
    return response;
  }

  private void completePendingReads() {
    List<PendingRead> completable = List.copyOf(pendingReads);
    completable.forEach(this::completePendingRead);
  }

  private void completePendingRead(PendingRead pendingRead) {
    if (pendingReads.remove(pendingRead)) {
      completeRead(pendingRead);
    }
  }

  private void completeRead(PendingRead pendingRead) {
    time.after(
        oneWayDelayMs(),
        () -> {
          if (isUnreachable(pendingRead.host())) {
            fail(pendingRead.result(), pendingRead.host());
          } else if (pendingRead.from() < firstOffset) {
            pendingRead
                .result()
                .completeExceptionally(
                    new LogFailure(LogFailure.Kind.HISTORY_GONE, "history was removed"));
          } else {
            int end = records.size();
            int from = (int) Math.min(pendingRead.from(), end);
            List<KeyedRecord> page = List.copyOf(records.subList(from, end));
            pendingRead.result().complete(new KeyedLog.LogPage(pendingRead.from(), end, page));
          }
        });
  }
}
