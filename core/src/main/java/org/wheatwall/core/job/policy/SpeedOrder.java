package org.wheatwall.core.job.policy;

import java.util.Comparator;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;

/**
 * The order in which a job prefers hosts, by their speed. A gang is as fast as its slowest host, so
 * gangs prefer the fastest hosts; single tasks prefer slower ones and leave the others to gangs.
 */
final class SpeedOrder {
  private SpeedOrder() {}

  /**
   * Returns the preference rank of a host's speed for {@code job}: 0 for the best, more for others.
   */
  static int rank(Job job, HostSpeed speed) {
    return job.tasks() > 1 ? rankForGang(speed) : rankForSingleTask(speed);
  }

  private static int rankForGang(HostSpeed speed) {
    return switch (speed) {
      case FASTER -> 0;
      case USUAL -> 1;
      case SLOWER -> 2;
      case MUCH_SLOWER -> 3;
    };
  }

  private static int rankForSingleTask(HostSpeed speed) {
    return switch (speed) {
      case SLOWER -> 0;
      case USUAL -> 1;
      case FASTER -> 2;
      case MUCH_SLOWER -> 3;
    };
  }

  /** Returns a comparator that sorts hosts by rank for {@code job}, then by least free capacity. */
  static Comparator<HostState> of(Job job) {
    return Comparator.comparingInt((HostState host) -> rank(job, host.speed()))
        .thenComparingInt(host -> host.free().accelerators())
        .thenComparingInt(HostState::index);
  }
}
