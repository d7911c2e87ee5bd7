package org.wheatwall.core.request.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A bounded queue shared by workspaces in proportion to their weights (start-time fair queueing,
 * Goyal et al., 1996). When it is full, the workspace with the longest queue relative to its weight
 * gives way, so one workspace cannot crowd out the rest.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
  private final int limit;
  private final Map<String, Flow<T>> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  private static final class Flow<T> {
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private double lastTag;
    private int weight = 1;
  }

  private record Entry<T>(T item, double tag, long deadlineMs) {}

  /** Creates a queue of at most {@code limit} entries. */
  public FairQueue(int limit) {
    this.limit = limit;
  }

  /**
   * Adds an entry; returns the one that had to give way: none, another workspace's newest, or the
   * entry itself.
   */
  public Optional<T> add(String workspace, int weight, T item, long deadlineMs) {
    Flow<T> flow = flows.computeIfAbsent(workspace, name -> new Flow<>());
    flow.weight = Math.max(1, weight);
    Optional<T> displaced = Optional.empty();
    if (size >= limit) {
      Flow<T> longest = longestFlow();
      double own = (flow.entries.size() + 1.0) / flow.weight;
      if (longest == flow || own >= (double) longest.entries.size() / longest.weight) {
        return Optional.of(item);
      }
      displaced = Optional.of(longest.entries.removeLast().item());
      size--;
    }
    double start = Math.max(virtualTime, flow.lastTag);
    flow.lastTag = start + 1.0 / flow.weight;
    flow.entries.addLast(new Entry<>(item, start, deadlineMs));
    size++;
    return displaced;
  }

  /** Removes and returns the next entry in fair order. */
  public Optional<T> poll() {
    return poll(item -> true);
  }

  /** Removes and returns the next entry in fair order among those that are {@code wanted}. */
  public Optional<T> poll(Predicate<T> wanted) {
    Optional<Flow<T>> from = nextFlow(wanted);
    if (from.isEmpty()) {
      return Optional.empty();
    }
    Entry<T> next = first(from.get(), wanted);
    from.get().entries.remove(next);
    virtualTime = Math.max(virtualTime, next.tag());
    size--;
    return Optional.of(next.item());
  }

  /** Returns what {@link #poll(Predicate)} would return, and leaves it in the queue. */
  public Optional<T> peek(Predicate<T> wanted) {
    return nextFlow(wanted).map(flow -> first(flow, wanted).item());
  }

  private Optional<Flow<T>> nextFlow(Predicate<T> wanted) {
    Flow<T> from = null;
    Entry<T> next = null;
    for (Flow<T> flow : flows.values()) {
      Entry<T> first = first(flow, wanted);
      if (first != null && (next == null || first.tag() < next.tag())) {
        from = flow;
        next = first;
      }
    }
    return Optional.ofNullable(from);
  }

  private static <T> Entry<T> first(Flow<T> flow, Predicate<T> wanted) {
    for (Entry<T> entry : flow.entries) {
      if (wanted.test(entry.item())) {
        return entry;
      }
    }
    return null;
  }

  /** Removes and returns every entry whose deadline is not after {@code nowMs}. */
  public List<T> expire(long nowMs) {
    List<T> expired = new ArrayList<>();
    for (Flow<T> flow : flows.values()) {
      flow.entries.removeIf(
          entry -> {
            boolean late = entry.deadlineMs() <= nowMs;
            if (late) {
              expired.add(entry.item());
            }
            return late;
          });
    }
    size -= expired.size();
    flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.lastTag <= virtualTime);
    return expired;
  }

  /** Returns the number of entries. */
  public int size() {
    return size;
  }

  private Flow<T> longestFlow() {
    Flow<T> longest = null;
    for (Flow<T> flow : flows.values()) {
      boolean longer =
          longest == null
              || (double) flow.entries.size() / flow.weight
                  > (double) longest.entries.size() / longest.weight;
      if (longer) {
        longest = flow;
      }
    }
    return longest;
  }
}
