package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;

/**
 * Accelerators that each workspace can always have for its urgent work. While all urgent work of a
 * workspace, waiting and running, needs no more than that, it may take the place of any other work
 * but that of workspaces in the same position.
 */
final class UrgentGuarantees {
  private final Map<String, Integer> demand = new HashMap<>();
  private Map<String, Integer> guaranteed = Map.of();

  /** Sets the guaranteed accelerators by workspace. */
  void setGuaranteed(Map<String, Integer> next) {
    guaranteed = Map.copyOf(next);
  }

  /** Counts a job that came. */
  void add(Job job) {
    count(job, job.totalAccelerators());
  }

  /** Counts a job that went. */
  void remove(Job job) {
    count(job, -job.totalAccelerators());
  }

  /** Returns whether the job belongs to urgent work that is guaranteed. */
  boolean covers(Job job) {
    int allowed = guaranteed.getOrDefault(job.workspace(), 0);
    return job.urgent() && demand.getOrDefault(job.workspace(), 0) <= allowed;
  }

  private void count(Job job, int accelerators) {
    if (job.urgent()) {
      demand.merge(job.workspace(), accelerators, Integer::sum);
    }
  }
}
