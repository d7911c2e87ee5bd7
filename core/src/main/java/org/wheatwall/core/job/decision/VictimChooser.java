package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/** Chooses whole gangs to stop at low cost, to free the capacity for a placement. */
final class VictimChooser {
  // What an urgent job, or one that was often stopped, loses counts this many times as much in the
  // comparison of places, where victims on several hosts are summed.
  private static final double PROTECTED_WEIGHT = 1000;
  // Whose work is stopped is decided by share only if the lost work is of the same order.
  private static final double EXCEEDED_WEIGHT = 0.5;

  private final Map<String, RunningAttempt> running;
  private final WorkspaceShares shares;
  private final Optional<StopLimit> stopLimit;
  private final boolean minimizeLostWork;

  /**
   * Creates a chooser among gangs.
   *
   * @param shares which workspaces hold more than their share; their gangs are stopped first if
   *     those of others would lose at least half as much
   * @param stopLimit bound on stops of the same job; empty to treat all jobs alike
   * @param minimizeLostWork whether to lose as little work as possible; otherwise as few gangs as
   *     possible are stopped
   */
  VictimChooser(
      Map<String, RunningAttempt> running,
      WorkspaceShares shares,
      Optional<StopLimit> stopLimit,
      boolean minimizeLostWork) {
    this.running = running;
    this.shares = shares;
    this.stopLimit = stopLimit;
    this.minimizeLostWork = minimizeLostWork;
  }

  /**
   * The gangs that must end before a placement is free.
   *
   * @param victims the gangs to stop, and those that are stopping already and hold what is needed
   * @param cost cost of stopping the former, see {@link RunningAttempt#stopCost}
   */
  record Choice(List<RunningAttempt> victims, double cost) {}

  /** Returns the gangs to stop, empty if stopping all permitted gangs frees too little. */
  Optional<Choice> choose(
      Cluster cluster,
      Placement placement,
      ResourceAmount taskAmount,
      Predicate<RunningAttempt> mayStop,
      long nowMs) {
    Set<RunningAttempt> victims = new LinkedHashSet<>();
    Set<RunningAttempt> ending = new LinkedHashSet<>();
    for (Map.Entry<String, Integer> entry : placement.tasksByHost().entrySet()) {
      Optional<HostState> host = cluster.host(entry.getKey());
      ResourceAmount need = taskAmount.times(entry.getValue());
      if (host.isEmpty() || !selectVictims(host.get(), need, victims, mayStop, nowMs)) {
        return Optional.empty();
      }
      if (!host.get().free().covers(need)) {
        ending.addAll(stoppingOn(host.get()));
      }
    }
    double cost = cost(victims, nowMs);
    victims.addAll(ending);
    return Optional.of(new Choice(List.copyOf(victims), cost));
  }

  // A start that does not wait for these attempts is refused for lack of capacity until they have
  // ended, and is abandoned after half a second of refusals; most stops take longer.
  private List<RunningAttempt> stoppingOn(HostState host) {
    List<RunningAttempt> ending = new ArrayList<>();
    for (String attemptId : host.attempts()) {
      RunningAttempt attempt = running.get(attemptId);
      if (attempt != null && attempt.stopping()) {
        ending.add(attempt);
      }
    }
    return ending;
  }

  /** Returns the cost of freeing {@code need} on one host, infinite if that is impossible. */
  double costToFree(
      HostState host, ResourceAmount need, Predicate<RunningAttempt> mayStop, long nowMs) {
    Set<RunningAttempt> victims = new LinkedHashSet<>();
    return selectVictims(host, need, victims, mayStop, nowMs)
        ? cost(victims, nowMs)
        : Double.POSITIVE_INFINITY;
  }

  private double cost(Set<RunningAttempt> victims, long nowMs) {
    return victims.stream()
        .mapToDouble(
            victim -> (protection(victim) > 0 ? PROTECTED_WEIGHT : 1) * stopCost(victim, nowMs))
        .sum();
  }

  private double stopCost(RunningAttempt attempt, long nowMs) {
    double weight = shares.isExceeded(attempt.job().workspace()) ? EXCEEDED_WEIGHT : 1;
    return weight * (minimizeLostWork ? attempt.stopCost(nowMs) : 1);
  }

  // Attempts with more protection are stopped last.
  private int protection(RunningAttempt attempt) {
    if (stopLimit.isEmpty()) {
      return 0;
    }
    if (attempt.job().urgent()) {
      return 2;
    }
    return stopLimit.get().isReached(attempt.jobName()) ? 1 : 0;
  }

  private boolean selectVictims(
      HostState host,
      ResourceAmount need,
      Set<RunningAttempt> victims,
      Predicate<RunningAttempt> mayStop,
      long nowMs) {
    ResourceAmount remainingUse = ResourceAmount.ZERO;
    List<RunningAttempt> candidates = new ArrayList<>();
    for (String attemptId : host.attempts()) {
      RunningAttempt attempt = running.get(attemptId);
      boolean ends = attempt != null && (attempt.stopping() || victims.contains(attempt));
      if (ends) {
        continue;
      }
      remainingUse = remainingUse.plus(host.held(attemptId));
      if (attempt != null && host.holdsReclaimable(attemptId) && mayStop.test(attempt)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(
        Comparator.comparingInt(this::protection)
            .thenComparingDouble(attempt -> stopCost(attempt, nowMs))
            .thenComparing(RunningAttempt::attemptId));
    for (RunningAttempt candidate : candidates) {
      if (host.host().capacity().covers(remainingUse.plus(need))) {
        return true;
      }
      remainingUse = remainingUse.minus(host.held(candidate.attemptId()));
      victims.add(candidate);
    }
    return host.usable() && host.host().capacity().covers(remainingUse.plus(need));
  }
}
