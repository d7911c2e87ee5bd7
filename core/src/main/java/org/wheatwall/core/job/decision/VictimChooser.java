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
  private final Map<String, RunningAttempt> running;
  private final WorkspaceShares shares;
  private final boolean minimizeLostWork;

  /**
   * Creates a chooser among gangs.
   *
   * @param shares which workspaces hold more than their share; their gangs are stopped first
   * @param minimizeLostWork whether to lose as little work as possible; otherwise as few gangs as
   *     possible are stopped
   */
  VictimChooser(
      Map<String, RunningAttempt> running, WorkspaceShares shares, boolean minimizeLostWork) {
    this.running = running;
    this.shares = shares;
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
    return victims.stream().mapToDouble(victim -> stopCost(victim, nowMs)).sum();
  }

  private double stopCost(RunningAttempt attempt, long nowMs) {
    return minimizeLostWork ? attempt.stopCost(nowMs) : 1;
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
        Comparator.comparing(
                (RunningAttempt attempt) -> !shares.isExceeded(attempt.job().workspace()))
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
