package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * What the usable hosts offer at most: the labels that any of them has, and the largest capacity of
 * each kind. Most jobs that fit nowhere are found in constant time by it, without looking at the
 * hosts, so that their number does not delay the jobs behind them. Updated host by host, so that a
 * scheduling pass does not look at all hosts for it.
 */
final class HostOffer {
  private final Map<String, Integer> hostsByLabel = new HashMap<>();
  private final Map<ResourceAmount, Integer> hostsByCapacity = new HashMap<>();
  private boolean capacitiesChanged;
  private int maxProcessors;
  private int maxMemoryMb;
  private int maxAccelerators;

  /** Adds a host with its current labels and capacity; has no effect if it is not usable. */
  void add(HostState host) {
    count(host, 1);
  }

  /** Removes a host, which must not have changed since it was added. */
  void remove(HostState host) {
    count(host, -1);
  }

  private void count(HostState host, int hosts) {
    if (!host.usable()) {
      return;
    }
    host.labels().entries().keySet().forEach(label -> merge(hostsByLabel, label, hosts));
    merge(hostsByCapacity, host.host().capacity(), hosts);
    capacitiesChanged = true;
  }

  private static <K> void merge(Map<K, Integer> counts, K key, int added) {
    counts.merge(key, added, (old, more) -> old + more == 0 ? null : old + more);
  }

  /** Returns whether no host can run a task of the job, even if it is empty. */
  boolean excludes(Job job) {
    updateMaxima();
    ResourceAmount task = job.taskAmount();
    return !hostsByLabel.keySet().containsAll(job.options().hostLabels())
        || task.processors() > maxProcessors
        || task.memoryMb() > maxMemoryMb
        || task.accelerators() > maxAccelerators;
  }

  private void updateMaxima() {
    if (!capacitiesChanged) {
      return;
    }
    capacitiesChanged = false;
    maxProcessors = 0;
    maxMemoryMb = 0;
    maxAccelerators = 0;
    for (ResourceAmount capacity : hostsByCapacity.keySet()) {
      maxProcessors = Math.max(maxProcessors, capacity.processors());
      maxMemoryMb = Math.max(maxMemoryMb, capacity.memoryMb());
      maxAccelerators = Math.max(maxAccelerators, capacity.accelerators());
    }
  }
}
