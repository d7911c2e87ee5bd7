package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Running totals of the capacity and allocations of all hosts, usable or not, and of the capacity
 * of the usable ones. Updated incrementally, host by host.
 *
 * <p>What is held on a host that responds is in use, whether or not it gets new work. Nobody knows
 * what runs on a host that does not respond, nor whether it is still there. It counts as capacity
 * of which nothing is in use, so that the share in use is never overestimated.
 */
final class CapacityInUse {
  // An accelerator counts as much as eight cores, whatever kind of host it is in. Processors are
  // counted in thousandths of a core by all work for which a reserve is kept.
  private static final int PROCESSORS_PER_ACCELERATOR = 8000;

  private long capacity;
  private long inUse;
  private long heldUnheard;
  private int usableAccelerators;
  private long usableProcessors;
  private long usableMemoryMb;

  /** Adds a host with its current capacity and allocations. */
  void add(HostState host) {
    count(host, 1);
  }

  /** Removes a host, which must not have changed since it was added. */
  void remove(HostState host) {
    count(host, -1);
  }

  private void count(HostState host, int sign) {
    ResourceAmount hostCapacity = host.host().capacity();
    capacity += sign * weight(hostCapacity);
    long held = sign * weight(host.used());
    inUse += host.heard() ? held : 0;
    heldUnheard += host.heard() ? 0 : held;
    if (host.usable()) {
      usableAccelerators += sign * hostCapacity.accelerators();
      usableProcessors += (long) sign * hostCapacity.processors();
      usableMemoryMb += (long) sign * hostCapacity.memoryMb();
    }
  }

  private static long weight(ResourceAmount amount) {
    return amount.processors() + (long) PROCESSORS_PER_ACCELERATOR * amount.accelerators();
  }

  /** Returns the accelerators of usable hosts, held or free. */
  int usableAccelerators() {
    return usableAccelerators;
  }

  /** Returns the processors of usable hosts, held or free. */
  long usableProcessors() {
    return usableProcessors;
  }

  /** Returns the memory of usable hosts in MiB, held or free. */
  long usableMemoryMb() {
    return usableMemoryMb;
  }

  /** Returns whether less than half of the capacity of all hosts is in use. */
  boolean isLessThanHalf() {
    return 2 * inUse < capacity;
  }

  /** Returns the share of the capacity of all hosts that is in use, 0 if there are none. */
  double share() {
    return shareOf(inUse);
  }

  /** Returns the share of the capacity of all hosts that is held on hosts that do not respond. */
  double unheardShare() {
    return shareOf(heldUnheard);
  }

  private double shareOf(long amount) {
    return capacity == 0 ? 0 : (double) amount / capacity;
  }
}
