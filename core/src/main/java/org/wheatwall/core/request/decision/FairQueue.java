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
 * Goyal et al., 1996). When it is full, an entry of the workspace with the longest queue relative
 * to its weight is dropped, so one workspace cannot starve the others.
 *
 * @param <T> type of the entries
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
   * Adds an entry and returns the entry that was dropped because the queue is full: none, the
   * newest of another workspace, or {@code item} itself.
   */
  public Optional<T> add(String workspace, int weight, T item, long deadlineMs) {
    Flow<T> flow = flows.computeIfAbsent(workspace, name -> new Flow<>());
    flow.weight = Math.max(1, weight);
    Optional<T> displaced = Optional.empty();
    if (size >= limit) {
      Flow<T> longest = longestFlow();
      double ownLength = (flow.entries.size() + 1.0) / flow.weight;
      if (longest == flow || ownLength >= (double) longest.entries.size() / longest.weight) {
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

  /** Removes and returns the next entry in fair order among those that match {@code filter}. */
  public Optional<T> poll(Predicate<T> filter) {
    Optional<Flow<T>> from = nextFlow(filter);
    if (from.isEmpty()) {
      return Optional.empty();
    }
    Entry<T> next = first(from.get(), filter);
    from.get().entries.remove(next);
    virtualTime = Math.max(virtualTime, next.tag());
    size--;
    return Optional.of(next.item());
  }

  /** Returns the entry that {@link #poll(Predicate)} would return, without removing it. */
  public Optional<T> peek(Predicate<T> filter) {
    return nextFlow(filter).map(flow -> first(flow, filter).item());
  }

  private Optional<Flow<T>> nextFlow(Predicate<T> filter) {
    Flow<T> from = null;
    Entry<T> next = null;
    for (Flow<T> flow : flows.values()) {
      Entry<T> first = first(flow, filter);
      if (first != null && (next == null || first.tag() < next.tag())) {
        from = flow;
        next = first;
      }
    }
    return Optional.ofNullable(from);
  }

  private static <T> Entry<T> first(Flow<T> flow, Predicate<T> filter) {
    for (Entry<T> entry : flow.entries) {
      if (filter.test(entry.item())) {
        return entry;
      }
    }
    return null;
  }

  /** Removes and returns all entries whose deadline is at or before {@code nowMs}. */
  public List<T> expire(long nowMs) {
    List<T> expired = new ArrayList<>();
    for (Flow<T> flow : flows.values()) {
      flow.entries.removeIf(
          entry -> {
            boolean isExpired = entry.deadlineMs() <= nowMs;
            if (isExpired) {
              expired.add(entry.item());
            }
            return isExpired;
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
