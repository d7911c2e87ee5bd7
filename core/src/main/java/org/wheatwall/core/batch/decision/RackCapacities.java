package org.wheatwall.core.batch.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * How many tasks of a step the best rack would hold if it were empty. Most gangs have the
 * requirements of an earlier one, so results are retained until a worker comes, goes or changes.
 */
final class RackCapacities {
  private static final int MAX_RETAINED = 1000;

  private final Collection<WorkerRecord> workers;
  private final Map<Requirements, Integer> mostTasks = new HashMap<>();

  /** What decides how many tasks of a step a worker holds. */
  private record Requirements(
      String service, Optional<String> hostLabel, ResourceAmount taskAmount, int spreadLimit) {}

  /**
   * Creates an instance.
   *
   * @param workers the known workers, a view; {@link #clear} must be called after each change
   */
  RackCapacities(Collection<WorkerRecord> workers) {
    this.workers = workers;
  }

  /** Discards the results, because the workers have changed. */
  void clear() {
    mostTasks.clear();
  }

  /**
   * Returns how many tasks of a step the rack that holds most of them would hold; {@link
   * Integer#MIN_VALUE} if no worker counts.
   *
   * @param only the workers that count, or empty if all of the service count
   */
  int mostTasks(StepSpec step, String service, Optional<Set<String>> only) {
    if (only.isPresent()) {
      return count(step, service, only);
    }
    if (mostTasks.size() >= MAX_RETAINED) {
      mostTasks.clear();
    }
    return mostTasks.computeIfAbsent(
        new Requirements(service, step.hostLabel(), step.taskAmount(), step.spreadLimit()),
        key -> count(step, service, only));
  }

  private int count(StepSpec step, String service, Optional<Set<String>> only) {
    Map<String, Integer> tasksByRack = new HashMap<>();
    for (WorkerRecord record : workers) {
      boolean counts = only.map(ids -> ids.contains(record.id())).orElse(true);
      record
          .info()
          .filter(info -> counts && info.service().equals(service))
          .ifPresent(info -> tasksByRack.merge(info.rack(), tasksOn(info, step), Integer::sum));
    }
    return tasksByRack.values().stream()
        .mapToInt(Integer::intValue)
        .max()
        .orElse(Integer.MIN_VALUE);
  }

  private static int tasksOn(WorkerInfo info, StepSpec step) {
    if (!step.hostLabel().map(info.labels()::contains).orElse(true)) {
      return 0;
    }
    int fitting = info.capacity().countFitting(step.taskAmount());
    return step.spreadLimit() == 0 ? fitting : Math.min(step.spreadLimit(), fitting);
  }
}
