package org.wheatwall.core.job.decision;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * What the usable hosts offer at most: the labels that any of them has, and the largest capacity of
 * each kind. Most jobs that fit nowhere are found in constant time by it, without looking at the
 * hosts, so that their number does not delay the jobs behind them.
 */
final class HostOffer {
  private final Set<String> labels = new HashSet<>();
  private int maxProcessors;
  private int maxMemoryMb;
  private int maxAccelerators;

  HostOffer(Collection<HostState> hosts) {
    hosts.stream().filter(HostState::usable).forEach(this::add);
  }

  private void add(HostState host) {
    labels.addAll(host.labels().entries().keySet());
    ResourceAmount capacity = host.host().capacity();
    maxProcessors = Math.max(maxProcessors, capacity.processors());
    maxMemoryMb = Math.max(maxMemoryMb, capacity.memoryMb());
    maxAccelerators = Math.max(maxAccelerators, capacity.accelerators());
  }

  /** Returns whether no host can run a task of the job, even if it is empty. */
  boolean excludes(Job job) {
    ResourceAmount task = job.taskAmount();
    return !labels.containsAll(job.options().hostLabels())
        || task.processors() > maxProcessors
        || task.memoryMb() > maxMemoryMb
        || task.accelerators() > maxAccelerators;
  }
}
