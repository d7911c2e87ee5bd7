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
 * A placement for every unused unit of every guaranteed shape, on capacity that is free or
 * reclaimable. While the plan has a placement for every unit, every guarantee can be reclaimed,
 * because only reclaimable work runs on the planned capacity. Work that cannot be reclaimed is
 * admitted only if the plan, or a new one, still has a placement for every unit.
 *
 * <p>Units are packed with best fit in order of decreasing difficulty. This is conservative: it may
 * refuse a set of shapes that an exhaustive search would admit, but never admits one that it would
 * refuse.
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

  /** Replaces the shapes; units keep their placements where possible. */
  public void setShapes(Map<String, GuaranteedShape> next) {
    shapes.clear();
    shapes.putAll(next);
    refresh();
  }

  /**
   * Validates all planned placements against the current hosts and searches placements for units
   * that have none; returns whether all units have one. Valid placements are kept, because the
   * packing heuristic could fail to place a unit if it replanned everything.
   */
  public boolean refresh() {
    Map<UnitKey, Planned> previous = new HashMap<>(planned);
    clear();
    List<UnitKey> unused = unusedUnitsHardestFirst();
    for (UnitKey unit : unused) {
      Planned plan = previous.get(unit);
      boolean sameRequirements =
          plan != null
              && plan.amount().equals(shapes.get(unit.shape()).taskAmount())
              && plan.placement().hosts().size() == shapes.get(unit.shape()).tasks();
      if (sameRequirements && fitsBesidePlan(plan.placement(), plan.amount())) {
        put(unit, plan.placement());
      }
    }
    placeMissing(unused);
    if (!unplaced.isEmpty()) {
      replanIfBetter(unused);
    }
    return unplaced.isEmpty();
  }

  private void placeMissing(List<UnitKey> unused) {
    for (UnitKey unit : unused) {
      if (planned.containsKey(unit)) {
        continue;
      }
      Optional<Placement> placement = findPlacement(shapes.get(unit.shape()));
      if (placement.isPresent()) {
        put(unit, placement.get());
      } else {
        unplaced.add(unit);
      }
    }
  }

  private void replanIfBetter(List<UnitKey> unused) {
    Map<UnitKey, Planned> current = new HashMap<>(planned);
    int missing = unplaced.size();
    clear();
    placeMissing(unused);
    if (unplaced.size() >= missing) {
      restore(current, unused);
    }
  }

  private void restore(Map<UnitKey, Planned> plans, List<UnitKey> unused) {
    clear();
    plans.forEach((unit, plan) -> put(unit, plan.placement()));
    unused.stream().filter(unit -> !plans.containsKey(unit)).forEach(unplaced::add);
  }

  private void clear() {
    cluster.clearPlanned();
    planned.clear();
    unplaced.clear();
  }

  /** Returns the shapes of which at least one unit has no placement. */
  public Set<String> unplacedShapes() {
    Set<String> names = new TreeSet<>();
    unplaced.forEach(unit -> names.add(unit.shape()));
    return names;
  }

  /** Returns all shapes by name. */
  public Map<String, GuaranteedShape> shapes() {
    return Map.copyOf(shapes);
  }

  /** Returns the shape with the given name, empty if it is unknown. */
  public Optional<GuaranteedShape> shape(String name) {
    return Optional.ofNullable(shapes.get(name));
  }

  /** Returns the planned placement of an unused unit of {@code shape}, empty if none has one. */
  public Optional<Placement> plannedPlacement(String shape) {
    return plannedUnusedUnit(shape).map(planned::get).map(Planned::placement);
  }

  /** Returns whether a unit of {@code shape} is unused. */
  public boolean hasFreeUnit(String shape) {
    GuaranteedShape spec = shapes.get(shape);
    return spec != null && numbersInUse(shape).size() < spec.units();
  }

  /**
   * Admits work that cannot be reclaimed and allocates its resources in the cluster, unless that
   * leaves more units without a placement than before; in that case returns false and changes
   * nothing.
   *
   * @param shape shape of which the work uses a unit, empty if it uses none
   */
  public boolean admit(
      String attemptId, Placement placement, ResourceAmount amount, Optional<String> shape) {
    Optional<UnitKey> unit = shape.flatMap(this::anyUnusedUnit);
    if (shape.isPresent() && unit.isEmpty()) {
      return false;
    }
    Map<UnitKey, Planned> previous = new HashMap<>(planned);
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
    restore(previous, unusedUnitsHardestFirst());
    return false;
  }

  /** Assigns a unit of {@code shape} to an attempt that was found running, without any check. */
  public void adopt(String attemptId, String shape) {
    anyUnusedUnit(shape)
        .ifPresent(
            unit -> {
              unitsInUse.put(attemptId, unit);
              removePlan(unit);
            });
  }

  /** Returns the unit of an attempt, whose resources have been released, to the plan. */
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
    Optional<UnitKey> plannedUnit = plannedUnusedUnit(shape);
    if (plannedUnit.isPresent()) {
      return plannedUnit;
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
    Function<HostState, ResourceAmount> available = HostState::unplanned;
    return PlacementSearch.bestFit(
        cluster, shape.adjacency(), shape.tasks(), shape.taskAmount(), available);
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
