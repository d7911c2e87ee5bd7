package org.wheatwall.core.gang.model;

import java.util.List;
import java.util.Locale;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * One thing that a worker is asked to do for one attempt. Every operation may be repeated.
 *
 * @param leaseMs how long the worker keeps the part without hearing again, milliseconds
 * @param reservation what to reserve, null except for {@link Kind#RESERVE}
 */
public record WorkerOperation(Kind kind, String attemptId, long leaseMs, Reservation reservation) {
  private static final String ALL = "*";

  /** Kinds of operation. */
  public enum Kind {
    /** Set resources aside. */
    RESERVE,
    /** Start the reserved tasks. */
    START,
    /** Keep the part for another lease. */
    RENEW,
    /**
     * Keep every part for another lease, if the inventory still has the version that the decider
     * knows; otherwise nothing.
     */
    RENEW_ALL,
    /** Keep the part for another lease, held to what it declared. */
    THROTTLE,
    /** Let the tasks save their state. */
    CHECKPOINT,
    /** Stop the tasks and free the resources; a part that has ended keeps its result. */
    STOP,
    /** Forget the result of a part that has ended. */
    FORGET;

    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * What to set aside, with all that another decider needs to take over.
   *
   * @param tasks tasks of the gang on this worker
   * @param taskAmount need of each
   * @param hosts host of every task of the whole gang
   * @param declaredSeconds declared run time
   */
  public record Reservation(
      String jobName,
      int tasks,
      ResourceAmount taskAmount,
      List<String> hosts,
      int declaredSeconds) {
    /** Copies the list. */
    public Reservation {
      hosts = List.copyOf(hosts);
    }
  }

  /** Returns the renewal of all parts at once. */
  public static WorkerOperation renewAll(long leaseMs) {
    return new WorkerOperation(Kind.RENEW_ALL, ALL, leaseMs, null);
  }

  /** Returns an operation without a reservation. */
  public static WorkerOperation simple(Kind kind, String attemptId, long leaseMs) {
    return new WorkerOperation(kind, attemptId, leaseMs, null);
  }
}
