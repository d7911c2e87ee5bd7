package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Names;

/**
 * An amount of a host's resources.
 *
 * @param processors processor cores
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourceAmount(int processors, int memoryMb, int accelerators) {
  /** No resources. */
  public static final ResourceAmount ZERO = new ResourceAmount(0, 0, 0);

  private static final int MAX = 100_000_000;

  /** Validates that no resource is negative. */
  public ResourceAmount {
    Names.requireRange("processors", processors, 0, MAX);
    Names.requireRange("memoryMb", memoryMb, 0, MAX);
    Names.requireRange("accelerators", accelerators, 0, MAX);
  }

  /** Returns this amount multiplied by {@code count}. */
  public ResourceAmount times(int count) {
    return new ResourceAmount(processors * count, memoryMb * count, accelerators * count);
  }

  /** Returns the sum of this amount and {@code other}. */
  public ResourceAmount plus(ResourceAmount other) {
    return new ResourceAmount(
        processors + other.processors,
        memoryMb + other.memoryMb,
        accelerators + other.accelerators);
  }

  /** Returns this amount less {@code other}, with negative resources raised to zero. */
  public ResourceAmount minus(ResourceAmount other) {
    return new ResourceAmount(
        Math.max(0, processors - other.processors),
        Math.max(0, memoryMb - other.memoryMb),
        Math.max(0, accelerators - other.accelerators));
  }

  /** Returns whether no resource of {@code need} exceeds that of this amount. */
  public boolean covers(ResourceAmount need) {
    return processors >= need.processors
        && memoryMb >= need.memoryMb
        && accelerators >= need.accelerators;
  }

  /** Returns how many times {@code unit} fits into this amount. */
  public int countFitting(ResourceAmount unit) {
    int count = Integer.MAX_VALUE;
    if (unit.processors > 0) {
      count = Math.min(count, processors / unit.processors);
    }
    if (unit.memoryMb > 0) {
      count = Math.min(count, memoryMb / unit.memoryMb);
    }
    if (unit.accelerators > 0) {
      count = Math.min(count, accelerators / unit.accelerators);
    }
    return count;
  }
}
