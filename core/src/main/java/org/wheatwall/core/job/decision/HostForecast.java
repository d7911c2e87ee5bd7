package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * The resources in use on a host at a future time, and how many tasks of one job then fit there.
 */
final class HostForecast {
  private final HostState host;
  private final Job job;
  private ResourceAmount used;
  private int tasks;

  /** Creates a forecast for a host on which nothing has ended yet. */
  HostForecast(HostState host, Job job) {
    this.host = host;
    this.job = job;
    this.used = host.used();
    this.tasks = tasksBeside(used);
  }

  /** Returns how many tasks of the job fit, at most as many as it has. */
  int tasks() {
    return tasks;
  }

  /** Returns how many tasks of the job fit no longer if {@code amount} is held in addition. */
  int tasksLostTo(ResourceAmount amount) {
    return tasks - tasksBeside(used.plus(amount));
  }

  /** Holds {@code amount} in addition. */
  void hold(ResourceAmount amount) {
    used = used.plus(amount);
    tasks = tasksBeside(used);
  }

  /** Releases {@code amount}. */
  void release(ResourceAmount amount) {
    used = used.minus(amount);
    tasks = tasksBeside(used);
  }

  private int tasksBeside(ResourceAmount inUse) {
    if (!host.usable()) {
      return 0;
    }
    ResourceAmount available = host.host().capacity().minus(inUse);
    return Math.min(job.tasks(), host.countTasks(job, available));
  }
}
