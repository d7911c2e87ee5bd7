package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.ResourceAmount;

/**
 * How much of the capacity of hosts is held, whether or not they may be used, and how many
 * accelerators those have that may be used. Kept up to date host by host.
 */
final class CapacityInUse {
  // Accelerators cost more than the processors beside them.
  private static final int ACCELERATOR_WEIGHT = 2;
  private static final double HALF = 0.5;

  private long accelerators;
  private long acceleratorsHeld;
  private long processors;
  private long processorsHeld;
  private int usableAccelerators;

  /** Counts a host as it is now. */
  void add(HostState host) {
    count(host, 1);
  }

  /** Counts a host no longer; it must not have changed since it was added. */
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

  /** Returns the accelerators of hosts that may be used, held or not. */
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

  private static double share(long held, long all) {
    return all == 0 ? 0 : (double) held / all;
  }
}
