package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.NavigableSet;
import java.util.OptionalDouble;
import java.util.Set;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.policy.QueuedJob;
import org.wheatwall.core.job.policy.SpeedDemand;

/**
 * Decides from the expected completion of a job which hosts are fast enough for it, and whether it
 * waits for such hosts while only slower ones are free.
 */
final class ExpectedCompletion {
  private static final double MS_PER_SECOND = 1000;
  // A task takes some time to start, and the members of a gang end unevenly.
  private static final double MARGIN = 1.1;
  // A slower host is held longer for the same work, so that also work with time to spare leaves the
  // slowest hosts to work that finds no others.
  private static final double MAX_RATIO_OF_CHOICE = 2;
  // No host is that fast, so that a job with less slack is late anywhere.
  private static final double MIN_RATIO = 0.01;
  // A job that has waited for longer found no room: capacity is short, and is used for the least
  // time on the fastest hosts. Some passes are made within this time.
  private static final int MAX_WAIT_OF_FREE_CAPACITY_MS = 500;
  // Hosts may not stand idle beside waiting work for longer, if less than half of the capacity is
  // in use.
  private static final int MAX_WAIT_BESIDE_IDLE_HOSTS_MS = 1000;
  // Bounds the cost of a forecast whatever the number of hosts.
  private static final int MAX_RACKS_OF_FORECAST = 16;

  private final boolean enabled;
  private final Cluster cluster;
  private final UrgentGuarantees guarantees;
  private final JobObjectives objectives;
  private final Map<String, RunningAttempt> running;

  ExpectedCompletion(
      boolean enabled,
      Cluster cluster,
      UrgentGuarantees guarantees,
      JobObjectives objectives,
      Map<String, RunningAttempt> running) {
    this.enabled = enabled;
    this.cluster = cluster;
    this.guarantees = guarantees;
    this.objectives = objectives;
    this.running = running;
  }

  /** Returns whether speeds are considered: the feature is on and hosts differ. */
  boolean applies() {
    return enabled && cluster.runTimesDiffer();
  }

  /**
   * Returns how many times its expected run time a job may take from now and still meet its
   * objective, empty if it has none.
   */
  OptionalDouble slackRatio(QueuedJob queued, long nowMs) {
    if (!objectives.hasObjective(queued)) {
      return OptionalDouble.empty();
    }
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND * MARGIN;
    return OptionalDouble.of((objectives.dueMs(queued) - nowMs) / expectedMs);
  }

  /** Returns which hosts are fast enough for a job and which it prefers. */
  SpeedDemand demand(QueuedJob queued, long nowMs) {
    double slack = slackRatio(queued, nowMs).orElse(MAX_RATIO_OF_CHOICE);
    double maxRatio = Math.max(MIN_RATIO, Math.min(MAX_RATIO_OF_CHOICE, slack));
    boolean hadToWait = nowMs - queued.submittedAtMs() > MAX_WAIT_OF_FREE_CAPACITY_MS;
    return new SpeedDemand(maxRatio, queued.job().urgent() || hadToWait);
  }

  /**
   * Returns whether a job that would be late at {@code placement} waits instead, since hosts that
   * are fast enough are expected to be free before it would be late on them too.
   */
  boolean shouldWait(QueuedJob queued, Placement placement, long nowMs) {
    OptionalDouble slack = slackRatio(queued, nowMs);
    if (slack.isEmpty()
        || slowestRatio(placement) <= slack.getAsDouble()
        || !mayWait(queued, nowMs)) {
      return false;
    }
    return slack.getAsDouble() > MIN_RATIO && isExpectedInTime(queued, slack.getAsDouble(), nowMs);
  }

  private double slowestRatio(Placement placement) {
    return placement.hosts().stream()
        .flatMap(name -> cluster.host(name).stream())
        .mapToDouble(HostState::runTimeRatio)
        .max()
        .orElse(1);
  }

  private boolean mayWait(QueuedJob queued, long nowMs) {
    boolean idle = cluster.capacityInUse().isLessThanHalf();
    boolean waitedLong = nowMs - queued.submittedAtMs() >= MAX_WAIT_BESIDE_IDLE_HOSTS_MS;
    boolean guaranteed = guarantees.covers(queued.job()) || queued.job().shape().isPresent();
    return !(idle && waitedLong) && !guaranteed;
  }

  // Examines the racks with most free capacity on hosts that are fast enough now; the others are
  // the least likely to be free in time.
  private boolean isExpectedInTime(QueuedJob queued, double slack, long nowMs) {
    Set<RackState> examined = new HashSet<>();
    int tasks = 0;
    for (int i = RunTimeClass.of(slack); i >= 0; i--) {
      for (NavigableSet<RackState> group : cluster.racksByFree(i).descendingMap().values()) {
        for (RackState rack : group) {
          if (examined.size() == MAX_RACKS_OF_FORECAST) {
            return false;
          }
          boolean spansRacks = queued.job().adjacency() == Adjacency.ANY;
          int before = spansRacks ? tasks : 0;
          tasks = examined.add(rack) ? before + tasksInTime(queued, rack, nowMs) : before;
          if (tasks >= queued.job().tasks()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private int tasksInTime(QueuedJob queued, RackState rack, long nowMs) {
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND * MARGIN;
    long dueMs = objectives.dueMs(queued);
    int tasks = 0;
    for (HostState host : rack.hosts()) {
      double latestStartMs = dueMs - expectedMs * host.runTimeRatio();
      if (host.usable() && latestStartMs >= nowMs) {
        tasks += tasksOn(host, queued.job(), latestStartMs, nowMs);
      }
    }
    return tasks;
  }

  private int tasksOn(HostState host, Job job, double latestStartMs, long nowMs) {
    ResourceAmount available = host.free();
    for (String attemptId : host.attempts()) {
      RunningAttempt attempt = running.get(attemptId);
      if (attempt != null && endsBetween(attempt, nowMs, latestStartMs)) {
        available = available.plus(host.held(attemptId));
      }
    }
    return host.countTasks(job, available);
  }

  // Nothing is known of the end of an attempt that has taken longer than expected. The capacity of
  // one that is being stopped is taken already.
  private static boolean endsBetween(RunningAttempt attempt, long nowMs, double latestMs) {
    double endMs = attempt.expectedEndMs();
    return !attempt.stopping() && endMs > nowMs && endMs <= latestMs;
  }
}
