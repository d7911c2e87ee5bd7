package org.wheatwall.core.job.decision;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.configuration.decision.ChangeRule;
import org.wheatwall.core.configuration.decision.ConfigurationReplica;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * Rejects a guaranteed shape that cannot be satisfied together with the other shapes of its zone on
 * the hosts in the capacity summary of the change.
 */
public final class GuaranteeRule implements ChangeRule {
  @Override
  public Optional<String> objection(Change change, ConfigurationReplica replica) {
    if (change.key().kind() != ResourceKind.SHAPES || change.value().isEmpty()) {
      return Optional.empty();
    }
    if (!(change.value().get() instanceof GuaranteedShape shape)) {
      return Optional.of(change.key() + " does not hold a guaranteed shape");
    }
    if (change.capacity().isEmpty()) {
      return Optional.of(change.key() + " came without the capacity it was checked against");
    }
    Map<String, GuaranteedShape> shapes = new TreeMap<>();
    for (StoredResource stored : replica.list(ResourceKind.SHAPES)) {
      if (stored.value().orElseThrow() instanceof GuaranteedShape other
          && other.zone().equals(shape.zone())) {
        shapes.put(stored.key().name(), other);
      }
    }
    shapes.put(change.key().name(), shape);
    return conflict(shape.zone(), shapes, change.capacity().get());
  }

  private static Optional<String> conflict(
      String zone, Map<String, GuaranteedShape> shapes, CapacitySummary capacity) {
    Cluster cluster = cluster(zone, capacity.zones().getOrDefault(zone, Map.of()));
    GuaranteePlan plan = new GuaranteePlan(cluster);
    plan.setShapes(shapes);
    Set<String> unplaced = plan.unplacedShapes();
    if (unplaced.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        "the guaranteed shapes of zone "
            + zone
            + " clash: no room for "
            + String.join(", ", unplaced)
            + " beside "
            + String.join(", ", shapes.keySet())
            + " on "
            + cluster.totalAccelerators()
            + " accelerators");
  }

  private static Cluster cluster(String zone, Map<String, Integer> profiles) {
    Cluster cluster = new Cluster();
    int rack = 0;
    for (Map.Entry<String, Integer> profile : profiles.entrySet()) {
      for (int i = 0; i < profile.getValue(); i++) {
        int host = 0;
        for (String amount : profile.getKey().split(",", -1)) {
          String name = "rack" + rack + "-host" + host++;
          cluster.add(new WorkerHost(name, zone, "rack" + rack, amount(amount)));
        }
        rack++;
      }
    }
    return cluster;
  }

  private static ResourceAmount amount(String text) {
    String[] parts = text.split("/", -1);
    try {
      return new ResourceAmount(
          Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      throw Refusal.invalid(
          "host capacity \"" + text + "\" in a change", "write processors/memoryMb/accelerators");
    }
  }
}
