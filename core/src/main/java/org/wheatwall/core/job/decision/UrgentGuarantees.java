package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;

/**
 * Accelerators guaranteed to the urgent work of each workspace. While the urgent work of a
 * workspace, waiting and running, needs no more than its guarantee, it may preempt all work except
 * the guaranteed urgent work of other workspaces.
 */
final class UrgentGuarantees {
  private final Map<String, Integer> demand = new HashMap<>();
  private Map<String, Integer> guaranteed = Map.of();

  /** Sets the guaranteed accelerators by workspace. */
  void setGuaranteed(Map<String, Integer> next) {
    guaranteed = Map.copyOf(next);
  }

  /** Adds a job to the demand of its workspace. */
  void add(Job job) {
    count(job, job.totalAccelerators());
  }

  /** Removes a job from the demand of its workspace. */
  void remove(Job job) {
    count(job, -job.totalAccelerators());
  }

  /** Returns whether the job is urgent and its workspace is within its guarantee. */
  boolean covers(Job job) {
    int limit = guaranteed.getOrDefault(job.workspace(), 0);
    return job.urgent() && demand.getOrDefault(job.workspace(), 0) <= limit;
  }

  private void count(Job job, int accelerators) {
    if (job.urgent()) {
      demand.merge(job.workspace(), accelerators, Integer::sum);
    }
  }
}
