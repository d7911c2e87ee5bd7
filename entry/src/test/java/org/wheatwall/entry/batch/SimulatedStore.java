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
  private static final int LONGEST_LATE_MS = 6000;

  private final VirtualTime time;
  private final List<KeyedRecord> records = new ArrayList<>();
  private final TreeMap<String, KeyedLog.NewestRecord> newest = new TreeMap<>();
  private final Map<String, Producer> producers = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final Set<SimulatedHost> cut = new HashSet<>();
  private final Map<SimulatedHost, Long> confirmedAtMs = new HashMap<>();
  private long first;
  private boolean down;
  private boolean silent;
  private double lostShare;
  private int latencyMs = 4;

  private static final class Producer {
    private long epoch = -1;
    private long lastSequence;
    private final Map<Long, Long> answers = new LinkedHashMap<>();
  }

  private record Waiter(
      long from, CompletableFuture<KeyedLog.LogPage> answer, SimulatedHost host) {}

  SimulatedStore(VirtualTime time) {
    this.time = time;
  }

  void setDown(boolean next, boolean silently) {
    down = next;
    silent = silently;
  }

  void setCut(SimulatedHost host, boolean next) {
    if (next) {
      cut.add(host);
    } else {
      cut.remove(host);
    }
  }

  void setLostShare(double next) {
    lostShare = next;
  }

  void setLatencyMs(int next) {
    latencyMs = next;
  }

  /** Drops what was appended so far, but for the newest record of each key. */
  void dropHistory() {
    first = records.size();
  }

  KeyedLog viewOf(SimulatedHost host) {
    return new KeyedLog() {
      @Override
      public CompletableFuture<Appended> append(AppendCall call) {
        long sentMs = time.nowMs();
        return call(host, true, () -> confirm(host, sentMs, call, doAppend(call)));
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

  private KeyedLog.Appended confirm(
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

  private boolean unreachable(SimulatedHost host) {
    return down || cut.contains(host);
  }

  private <T> CompletableFuture<T> call(SimulatedHost host, boolean writes, Supplier<T> work) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (unreachable(host)) {
      fail(answer, host);
      return answer;
    }
    boolean lost = writes && time.random().nextDouble() < lostShare;
    boolean late = lost && time.random().nextBoolean();
    long delay = late ? 1000 + time.random().nextInt(LONGEST_LATE_MS) : oneWay();
    time.after(
        delay,
        () -> {
          try {
            T result = work.get();
            if (!lost) {
              time.after(oneWay(), () -> answer.complete(result));
            }
          } catch (LogFailure failure) {
            if (!lost) {
              time.after(oneWay(), () -> answer.completeExceptionally(failure));
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
    boolean busy = down && !silent;
    LogFailure.Kind kind = busy ? LogFailure.Kind.NOT_DONE : LogFailure.Kind.UNKNOWN;
    time.after(
        busy ? oneWay() : TIMEOUT_MS,
        () -> answer.completeExceptionally(new LogFailure(kind, "down for " + host.name())));
  }

  private int oneWay() {
    return 1 + time.random().nextInt(latencyMs);
  }

  private KeyedLog.Appended doAppend(KeyedLog.AppendCall call) {
    Producer producer = producers.computeIfAbsent(call.producer(), key -> new Producer());
    if (call.epoch() < producer.epoch) {
      throw new LogFailure(LogFailure.Kind.FENCED, "epoch " + producer.epoch);
    }
    boolean sameEpoch = call.epoch() == producer.epoch;
    Long repeated = sameEpoch ? producer.answers.get(call.sequence()) : null;
    if (repeated != null) {
      return new KeyedLog.Appended(repeated);
    }
    if (sameEpoch && call.sequence() != producer.lastSequence + 1) {
      throw new LogFailure(
          LogFailure.Kind.OUT_OF_SEQUENCE, "wanted " + (producer.lastSequence + 1));
    }
    if (call.expectedEnd().isPresent() && call.expectedEnd().getAsLong() != records.size()) {
      throw new LogFailure(LogFailure.Kind.MOVED, "ends at " + records.size());
    }
    if (!sameEpoch) {
      producer.answers.clear();
    }
    producer.epoch = call.epoch();
    producer.lastSequence = call.sequence();
    long offset = records.size();
    producer.answers.put(call.sequence(), offset);
    call.records().forEach(this::store);
    wakeWaiters();
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
    if (unreachable(host)) {
      CompletableFuture<KeyedLog.LogPage> failed = new CompletableFuture<>();
      fail(failed, host);
      return failed;
    }
    CompletableFuture<KeyedLog.LogPage> answer = new CompletableFuture<>();
    time.after(
        oneWay(),
        () -> {
          if (from < records.size() || waitMs == 0 || from < first) {
            answerRead(new Waiter(from, answer, host));
            return;
          }
          Waiter waiter = new Waiter(from, answer, host);
          waiters.add(waiter);
          time.after(waitMs, () -> answerWaiter(waiter));
        });
    return answer;
  }

  private void wakeWaiters() {
    List<Waiter> woken = List.copyOf(waiters);
    woken.forEach(this::answerWaiter);
  }

  private void answerWaiter(Waiter waiter) {
    if (waiters.remove(waiter)) {
      answerRead(waiter);
    }
  }

  private void answerRead(Waiter waiter) {
    time.after(
        oneWay(),
        () -> {
          if (unreachable(waiter.host())) {
            fail(waiter.answer(), waiter.host());
          } else if (waiter.from() < first) {
            waiter
                .answer()
                .completeExceptionally(new LogFailure(LogFailure.Kind.HISTORY_GONE, "gone"));
          } else {
            int end = records.size();
            int from = (int) Math.min(waiter.from(), end);
            List<KeyedRecord> page = List.copyOf(records.subList(from, end));
            waiter.answer().complete(new KeyedLog.LogPage(waiter.from(), end, page));
          }
        });
  }
}
