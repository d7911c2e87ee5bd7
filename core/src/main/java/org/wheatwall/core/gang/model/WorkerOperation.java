package org.wheatwall.core.gang.model;

import java.util.List;
import java.util.Locale;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * One operation that a worker is asked to perform for one attempt. Every operation is idempotent.
 *
 * @param leaseMs how long the worker keeps the part without a further operation, milliseconds
 * @param reservation what to reserve, null except for {@link Kind#RESERVE}
 */
public record WorkerOperation(Kind kind, String attemptId, long leaseMs, Reservation reservation) {
  private static final String ALL = "*";

  /** Kinds of operation. */
  public enum Kind {
    /** Reserve resources. */
    RESERVE,
    /** Start the reserved tasks. */
    START,
    /** Renew the lease of the part. */
    RENEW,
    /**
     * Renew the lease of every part if the inventory still has the version that the decider knows;
     * otherwise do nothing.
     */
    RENEW_ALL,
    /** Renew the lease of the part and limit its usage to the declared amount. */
    THROTTLE,
    /** Have the tasks save their state. */
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
   * The resources to reserve, with everything that another decider needs to take the attempt over.
   *
   * @param tasks number of tasks of the gang on this worker
   * @param taskAmount resources of each task
   * @param hosts host of every task of the whole gang
   * @param declaredSeconds declared run time, seconds
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

  /** Returns an operation that renews all parts at once. */
  public static WorkerOperation renewAll(long leaseMs) {
    return new WorkerOperation(Kind.RENEW_ALL, ALL, leaseMs, null);
  }

  /** Returns an operation without a reservation. */
  public static WorkerOperation simple(Kind kind, String attemptId, long leaseMs) {
    return new WorkerOperation(kind, attemptId, leaseMs, null);
  }
}
