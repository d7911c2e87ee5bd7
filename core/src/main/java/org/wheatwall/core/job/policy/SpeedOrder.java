package org.wheatwall.core.job.policy;

import java.util.Comparator;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.model.HostPace;
import org.wheatwall.core.job.model.Job;

/**
 * Which hosts a job is placed on first, by how fast they are. A gang moves at the pace of its
 * slowest host, so gangs take the fastest; single tasks take the slower ones and leave the others
 * to gangs.
 */
final class SpeedOrder {
  private SpeedOrder() {}

  /** Returns 0 for a host that suits {@code job} best, more for others. */
  static int rank(Job job, HostPace pace) {
    return job.tasks() > 1 ? rankForGang(pace) : rankForSingleTask(pace);
  }

  private static int rankForGang(HostPace pace) {
    return switch (pace) {
      case FASTER -> 0;
      case USUAL -> 1;
      case SLOWER -> 2;
      case MUCH_SLOWER -> 3;
    };
  }

  private static int rankForSingleTask(HostPace pace) {
    return switch (pace) {
      case SLOWER -> 0;
      case USUAL -> 1;
      case FASTER -> 2;
      case MUCH_SLOWER -> 3;
    };
  }

  /** Returns the order in which hosts suit {@code job}, among equals those with the least free. */
  static Comparator<HostState> of(Job job) {
    return Comparator.comparingInt((HostState host) -> rank(job, host.pace()))
        .thenComparingInt(host -> host.free().accelerators())
        .thenComparingInt(HostState::index);
  }
}
