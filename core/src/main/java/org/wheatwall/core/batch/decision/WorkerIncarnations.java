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
 * Which lives of workers are known. The latest of each worker is the one that runs; a list that
 * lags or an answer that comes late may still name one that is over.
 */
final class WorkerIncarnations {
  private static final int LATEST_KEPT = 50_000;

  private final Map<String, Set<WorkerIncarnation>> inUse = new HashMap<>();
  private final Map<String, WorkerIncarnation> latest =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WorkerIncarnation> eldest) {
          return size() > LATEST_KEPT;
        }
      };

  /** Notes that something is known of a life. */
  void add(String name) {
    WorkerIncarnation life = WorkerIncarnation.parse(name);
    inUse.computeIfAbsent(life.id(), id -> new HashSet<>()).add(life);
    latest.merge(life.id(), life, (known, next) -> known.precedes(next) ? next : known);
  }

  /** Notes that nothing is known of a life any more; whether it is over is kept. */
  void remove(String name) {
    WorkerIncarnation life = WorkerIncarnation.parse(name);
    Set<WorkerIncarnation> lives = inUse.get(life.id());
    if (lives != null && lives.remove(life) && lives.isEmpty()) {
      inUse.remove(life.id());
    }
  }

  /** Returns whether a later life of the same worker is known. */
  boolean isSuperseded(String name) {
    WorkerIncarnation life = WorkerIncarnation.parse(name);
    return latest(life.id()).filter(life::precedes).isPresent();
  }

  /** Returns the latest known life of a worker. */
  Optional<WorkerIncarnation> latest(String id) {
    return Optional.ofNullable(latest.get(id));
  }

  /**
   * Returns the names of the lives of the same worker before this one of which something is known.
   */
  List<String> earlierThan(String name) {
    WorkerIncarnation life = WorkerIncarnation.parse(name);
    return inUse.getOrDefault(life.id(), Set.of()).stream()
        .filter(other -> other.precedes(life))
        .map(WorkerIncarnation::name)
        .sorted()
        .toList();
  }
}
