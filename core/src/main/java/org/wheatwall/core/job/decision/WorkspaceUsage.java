package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Resources that the running tasks of each workspace hold: those of all its work, and those of its
 * urgent work. Updated incrementally as tasks start and end.
 */
final class WorkspaceUsage {
  /** Amounts held; sums over many hosts exceed the range of {@link ResourceAmount}. */
  record Held(long processors, long memoryMb, long accelerators) {
    static final Held NOTHING = new Held(0, 0, 0);

    private Held plus(ResourceAmount amount, long count) {
      return new Held(
          processors + count * amount.processors(),
          memoryMb + count * amount.memoryMb(),
          accelerators + count * amount.accelerators());
    }
  }

  private final Map<String, Held> all = new HashMap<>();
  private final Map<String, Held> urgent = new HashMap<>();
  private long changes;

  /** Adds tasks of a job. */
  void add(Job job, int tasks) {
    count(job, tasks);
  }

  /** Removes tasks of a job that were added. */
  void remove(Job job, int tasks) {
    count(job, -tasks);
  }

  /** Returns what a workspace holds. */
  Held ofAllWork(String workspace) {
    return all.getOrDefault(workspace, Held.NOTHING);
  }

  /** Returns what the urgent work of a workspace holds. */
  Held ofUrgentWork(String workspace) {
    return urgent.getOrDefault(workspace, Held.NOTHING);
  }

  /** Returns the workspaces that hold resources. */
  Set<String> workspaces() {
    return all.keySet();
  }

  /** Returns how often something was added or removed. */
  long changes() {
    return changes;
  }

  private void count(Job job, int tasks) {
    changes++;
    count(all, job, tasks);
    if (job.urgent()) {
      count(urgent, job, tasks);
    }
  }

  private static void count(Map<String, Held> totals, Job job, int tasks) {
    totals.compute(
        job.workspace(),
        (workspace, held) -> {
          Held next = (held == null ? Held.NOTHING : held).plus(job.taskAmount(), tasks);
          return next.equals(Held.NOTHING) ? null : next;
        });
  }
}
