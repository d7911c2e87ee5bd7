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

/** Chooses whole gangs to stop so that a placement has room, at little cost. */
final class VictimChooser {
  private final Map<String, RunningAttempt> running;
  private final boolean minimizeLostWork;

  /**
   * Creates a chooser among gangs.
   *
   * @param byCost whether as little as possible is thrown away; otherwise as few as possible stop
   */
  VictimChooser(Map<String, RunningAttempt> running, boolean byCost) {
    this.running = running;
    this.minimizeLostWork = byCost;
  }

  /**
   * What a placement has to wait for.
   *
   * @param victims the gangs to stop, and those that stop already and hold what it needs
   * @param cost what it costs to stop the former, see {@link RunningAttempt#stopCost}
   */
  record Choice(List<RunningAttempt> victims, double cost) {}

  /** Returns which gangs to stop, empty if stopping all that may be stopped is not enough. */
  Optional<Choice> choose(
      Cluster cluster,
      Placement placement,
      ResourceAmount taskAmount,
      Predicate<RunningAttempt> mayStop,
      long nowMs) {
    Set<RunningAttempt> victims = new LinkedHashSet<>();
    Set<RunningAttempt> leaving = new LinkedHashSet<>();
    for (Map.Entry<String, Integer> entry : placement.tasksByHost().entrySet()) {
      Optional<HostState> host = cluster.host(entry.getKey());
      ResourceAmount need = taskAmount.times(entry.getValue());
      if (host.isEmpty() || !selectVictims(host.get(), need, victims, mayStop, nowMs)) {
        return Optional.empty();
      }
      if (!host.get().free().covers(need)) {
        leaving.addAll(stoppingOn(host.get()));
      }
    }
    double cost = cost(victims, nowMs);
    victims.addAll(leaving);
    return Optional.of(new Choice(List.copyOf(victims), cost));
  }

  // A start that does not wait for them is refused for want of room until they are gone, and is
  // given up after half a second of that; most stops take longer.
  private List<RunningAttempt> stoppingOn(HostState host) {
    List<RunningAttempt> leaving = new ArrayList<>();
    for (String attemptId : host.attempts()) {
      RunningAttempt attempt = running.get(attemptId);
      if (attempt != null && attempt.stopping()) {
        leaving.add(attempt);
      }
    }
    return leaving;
  }

  /** Returns what it costs to make room for {@code need} on one host, infinite if it cannot be. */
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
    ResourceAmount kept = ResourceAmount.ZERO;
    List<RunningAttempt> candidates = new ArrayList<>();
    for (String attemptId : host.attempts()) {
      RunningAttempt attempt = running.get(attemptId);
      boolean leaves = attempt != null && (attempt.stopping() || victims.contains(attempt));
      if (leaves) {
        continue;
      }
      kept = kept.plus(host.held(attemptId));
      if (attempt != null && host.holdsReclaimable(attemptId) && mayStop.test(attempt)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(
        Comparator.comparingDouble((RunningAttempt attempt) -> stopCost(attempt, nowMs))
            .thenComparing(RunningAttempt::attemptId));
    for (RunningAttempt candidate : candidates) {
      if (host.host().capacity().covers(kept.plus(need))) {
        return true;
      }
      kept = kept.minus(host.held(candidate.attemptId()));
      victims.add(candidate);
    }
    return host.usable() && host.host().capacity().covers(kept.plus(need));
  }
}
