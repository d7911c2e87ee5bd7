package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Running totals of the capacity and allocations of all hosts, usable or not, and of the
 * accelerators of the usable ones. Updated incrementally, host by host.
 */
final class CapacityInUse {
  // Accelerators are more expensive than the processors of a host, so their share counts double.
  private static final int ACCELERATOR_WEIGHT = 2;
  private static final double HALF = 0.5;

  private long accelerators;
  private long acceleratorsHeld;
  private long processors;
  private long processorsHeld;
  private int usableAccelerators;

  /** Adds a host with its current capacity and allocations. */
  void add(HostState host) {
    count(host, 1);
  }

  /** Removes a host, which must not have changed since it was added. */
  void remove(HostState host) {
    count(host, -1);
  }

  private void count(HostState host, int sign) {
    ResourceAmount capacity = host.host().capacity();
    accelerators += (long) sign * capacity.accelerators();
    processors += (long) sign * capacity.processors();
    acceleratorsHeld += (long) sign * host.used().accelerators();
    processorsHeld += (long) sign * host.used().processors();
    usableAccelerators += host.usable() ? sign * capacity.accelerators() : 0;
  }

  /** Returns the accelerators of usable hosts, held or free. */
  int usableAccelerators() {
    return usableAccelerators;
  }

  /** Returns whether less than half of the capacity of all hosts is held. */
  boolean isLessThanHalf() {
    return share() < HALF;
  }

  private double share() {
    if (accelerators == 0) {
      return share(processorsHeld, processors);
    }
    double weighted =
        ACCELERATOR_WEIGHT * share(acceleratorsHeld, accelerators)
            + share(processorsHeld, processors);
    return weighted / (ACCELERATOR_WEIGHT + 1);
  }

  private static double share(long held, long total) {
    return total == 0 ? 0 : (double) held / total;
  }
}
