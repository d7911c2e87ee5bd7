package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A concrete place for every unit of every guaranteed shape that is not in use, on capacity that is
 * free or reclaimable. While such a plan exists, every guarantee can be reclaimed: its unit's place
 * has only reclaimable work on it. Work that cannot be reclaimed is admitted only if the plan, or a
 * new plan, still has a place for every unit.
 *
 * <p>Packing is by decreasing difficulty with best fit. That is conservative: it may refuse a set
 * that a search over all packings would admit, never the reverse.
 */
public final class GuaranteePlan {
  private final Cluster cluster;
  private final Map<UnitKey, Planned> planned = new HashMap<>();
  private final Map<String, GuaranteedShape> shapes = new LinkedHashMap<>();
  private final Map<String, UnitKey> unitsInUse = new HashMap<>();
  private final Set<UnitKey> unplaced = new TreeSet<>(UNIT_ORDER);

  private static final Comparator<UnitKey> UNIT_ORDER =
      Comparator.comparing(UnitKey::shape).thenComparingInt(UnitKey::number);

  /** One unit of a shape. */
  record UnitKey(String shape, int number) {}

  private record Planned(Placement placement, ResourceAmount amount) {}

  /** Creates a plan without shapes over {@code cluster}. */
  public GuaranteePlan(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Replaces the shapes; units that have a place keep it where they can. */
  public void setShapes(Map<String, GuaranteedShape> next) {
    shapes.clear();
    shapes.putAll(next);
    refresh();
  }

  /**
   * Checks every planned place against the hosts as they are now and finds places for units that
   * have none; returns whether all have one. A place that still holds is kept: planning all anew
   * could, packing being a heuristic, lose a unit that has a place.
   */
  public boolean refresh() {
    Map<UnitKey, Planned> before = new HashMap<>(planned);
    clear();
    List<UnitKey> wanted = unusedUnitsHardestFirst();
    for (UnitKey unit : wanted) {
      Planned plan = before.get(unit);
      boolean sameShape =
          plan != null
              && plan.amount().equals(shapes.get(unit.shape()).taskAmount())
              && plan.placement().hosts().size() == shapes.get(unit.shape()).tasks();
      if (sameShape && fitsBesidePlan(plan.placement(), plan.amount())) {
        put(unit, plan.placement());
      }
    }
    placeMissing(wanted);
    if (!unplaced.isEmpty()) {
      replanIfBetter(wanted);
    }
    return unplaced.isEmpty();
  }

  private void placeMissing(List<UnitKey> wanted) {
    for (UnitKey unit : wanted) {
      if (planned.containsKey(unit)) {
        continue;
      }
      Optional<Placement> place = findPlacement(shapes.get(unit.shape()));
      if (place.isPresent()) {
        put(unit, place.get());
      } else {
        unplaced.add(unit);
      }
    }
  }

  private void replanIfBetter(List<UnitKey> wanted) {
    Map<UnitKey, Planned> kept = new HashMap<>(planned);
    int missing = unplaced.size();
    clear();
    placeMissing(wanted);
    if (unplaced.size() >= missing) {
      restore(kept, wanted);
    }
  }

  private void restore(Map<UnitKey, Planned> plans, List<UnitKey> wanted) {
    clear();
    plans.forEach((unit, plan) -> put(unit, plan.placement()));
    wanted.stream().filter(unit -> !plans.containsKey(unit)).forEach(unplaced::add);
  }

  private void clear() {
    cluster.clearPlanned();
    planned.clear();
    unplaced.clear();
  }

  /** Returns the shapes of which some unit has no place now. */
  public Set<String> unplacedShapes() {
    Set<String> names = new TreeSet<>();
    unplaced.forEach(unit -> names.add(unit.shape()));
    return names;
  }

  /** Returns all shapes by name. */
  public Map<String, GuaranteedShape> shapes() {
    return Map.copyOf(shapes);
  }

  /** Returns the shape of this name. */
  public Optional<GuaranteedShape> shape(String name) {
    return Optional.ofNullable(shapes.get(name));
  }

  /** Returns the planned place of a unit of {@code shape} that is not in use. */
  public Optional<Placement> plannedPlacement(String shape) {
    return plannedUnusedUnit(shape).map(planned::get).map(Planned::placement);
  }

  /** Returns whether some unit of {@code shape} is not in use. */
  public boolean hasFreeUnit(String shape) {
    GuaranteedShape spec = shapes.get(shape);
    return spec != null && numbersInUse(shape).size() < spec.units();
  }

  /**
   * Admits work that cannot be reclaimed and holds it in the cluster, if every unit still has a
   * place afterwards; otherwise changes nothing.
   *
   * @param shape shape whose unit the work uses, empty if it uses none
   */
  public boolean admit(
      String attemptId, Placement placement, ResourceAmount amount, Optional<String> shape) {
    Optional<UnitKey> unit = shape.flatMap(this::anyUnusedUnit);
    if (shape.isPresent() && unit.isEmpty()) {
      return false;
    }
    Map<UnitKey, Planned> before = new HashMap<>(planned);
    int missing = unplaced.size();
    unit.ifPresent(key -> unitsInUse.put(attemptId, key));
    unit.ifPresent(this::removePlan);
    boolean besidePlan = fitsBesidePlan(placement, amount);
    cluster.hold(attemptId, placement, amount, false);
    if (besidePlan) {
      return true;
    }
    refresh();
    if (unplaced.size() <= missing) {
      return true;
    }
    cluster.release(attemptId);
    unitsInUse.remove(attemptId);
    restore(before, unusedUnitsHardestFirst());
    return false;
  }

  /** Counts an attempt found running as using a unit of {@code shape}, without any check. */
  public void adopt(String attemptId, String shape) {
    anyUnusedUnit(shape)
        .ifPresent(
            unit -> {
              unitsInUse.put(attemptId, unit);
              removePlan(unit);
            });
  }

  /** Notes that an attempt ended and its resources were released; its unit is planned again. */
  public void attemptEnded(String attemptId) {
    UnitKey unit = unitsInUse.remove(attemptId);
    if (unit != null || !unplaced.isEmpty()) {
      refresh();
    }
  }

  private boolean fitsBesidePlan(Placement placement, ResourceAmount amount) {
    for (Map.Entry<String, Integer> entry : placement.tasksByHost().entrySet()) {
      Optional<HostState> host = cluster.host(entry.getKey());
      if (host.isEmpty() || !host.get().unplanned().covers(amount.times(entry.getValue()))) {
        return false;
      }
    }
    return true;
  }

  private Optional<UnitKey> plannedUnusedUnit(String shape) {
    return planned.keySet().stream().filter(key -> key.shape().equals(shape)).min(UNIT_ORDER);
  }

  private Optional<UnitKey> anyUnusedUnit(String shape) {
    Optional<UnitKey> withPlace = plannedUnusedUnit(shape);
    if (withPlace.isPresent()) {
      return withPlace;
    }
    return unplaced.stream().filter(key -> key.shape().equals(shape)).findFirst();
  }

  private Collection<Integer> numbersInUse(String shape) {
    Set<Integer> numbers = new TreeSet<>();
    for (UnitKey key : unitsInUse.values()) {
      if (key.shape().equals(shape)) {
        numbers.add(key.number());
      }
    }
    return numbers;
  }

  private List<UnitKey> unusedUnitsHardestFirst() {
    List<UnitKey> units = new ArrayList<>();
    for (Map.Entry<String, GuaranteedShape> entry : shapes.entrySet()) {
      Collection<Integer> inUse = numbersInUse(entry.getKey());
      for (int number = 0; number < entry.getValue().units(); number++) {
        if (!inUse.contains(number)) {
          units.add(new UnitKey(entry.getKey(), number));
        }
      }
    }
    units.sort(
        Comparator.comparing((UnitKey unit) -> shapes.get(unit.shape()).adjacency())
            .thenComparingInt(unit -> shapes.get(unit.shape()).taskAmount().accelerators())
            .thenComparingInt(unit -> shapes.get(unit.shape()).tasks())
            .reversed()
            .thenComparing(UNIT_ORDER));
    return units;
  }

  private Optional<Placement> findPlacement(GuaranteedShape shape) {
    Function<HostState, ResourceAmount> room = HostState::unplanned;
    return PlacementSearch.bestFit(
        cluster, shape.adjacency(), shape.tasks(), shape.taskAmount(), room);
  }

  private void put(UnitKey unit, Placement placement) {
    ResourceAmount amount = shapes.get(unit.shape()).taskAmount();
    planned.put(unit, new Planned(placement, amount));
    cluster.addPlanned(placement, amount);
  }

  private void removePlan(UnitKey unit) {
    unplaced.remove(unit);
    Planned plan = planned.remove(unit);
    if (plan != null) {
      cluster.removePlanned(plan.placement(), plan.amount());
    }
  }
}
