package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.WorkerIncarnation;

/**
 * Tracks the known incarnations of workers. Only the latest incarnation of a worker runs; a list
 * that lags behind or a delayed response may still name a superseded one.
 */
final class WorkerIncarnations {
  private static final int MAX_LATEST_TRACKED = 50_000;

  private final Map<String, Set<WorkerIncarnation>> inUse = new HashMap<>();
  private final Map<String, WorkerIncarnation> latest =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WorkerIncarnation> eldest) {
          return size() > MAX_LATEST_TRACKED;
        }
      };

  /** Adds an incarnation that has known runs or a worker record. */
  void add(String name) {
    WorkerIncarnation incarnation = WorkerIncarnation.parse(name);
    inUse.computeIfAbsent(incarnation.id(), id -> new HashSet<>()).add(incarnation);
    latest.merge(
        incarnation.id(), incarnation, (known, next) -> known.precedes(next) ? next : known);
  }

  /** Removes an incarnation, but remembers whether it is superseded. */
  void remove(String name) {
    WorkerIncarnation incarnation = WorkerIncarnation.parse(name);
    Set<WorkerIncarnation> incarnations = inUse.get(incarnation.id());
    if (incarnations != null && incarnations.remove(incarnation) && incarnations.isEmpty()) {
      inUse.remove(incarnation.id());
    }
  }

  /** Returns whether a later incarnation of the same worker is known. */
  boolean isSuperseded(String name) {
    WorkerIncarnation incarnation = WorkerIncarnation.parse(name);
    return latest(incarnation.id()).filter(incarnation::precedes).isPresent();
  }

  /** Returns the latest known incarnation of a worker. */
  Optional<WorkerIncarnation> latest(String id) {
    return Optional.ofNullable(latest.get(id));
  }

  /** Returns the names of the tracked incarnations of the same worker before this one. */
  List<String> earlierThan(String name) {
    WorkerIncarnation incarnation = WorkerIncarnation.parse(name);
    return inUse.getOrDefault(incarnation.id(), Set.of()).stream()
        .filter(other -> other.precedes(incarnation))
        .map(WorkerIncarnation::name)
        .sorted()
        .toList();
  }
}
