package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.Workspace;

/**
 * Dominant shares of workspaces (Ghodsi et al. 2011): the largest fraction that a workspace holds
 * of the accelerators, processors or memory of the usable hosts, divided by its weight. Only what
 * is held now counts, so that work after a time without work is not delayed.
 */
final class DominantShares implements WorkspaceShares {
  // Shares differ by the size of single jobs even if they are divided as equally as possible.
  private static final double TOLERANCE = 1.1;
  private static final double PERCENT = 100;

  private final CapacityInUse capacity;
  private final WorkspaceUsage usage;
  private final Set<String> waiting = new HashSet<>();
  private Map<String, Workspace> workspaces = Map.of();
  private long settingChanges;
  private final Set<String> exceeding = new HashSet<>();
  private Basis basisOfExceeding;

  /** What the result of a comparison of all shares was computed from. */
  private record Basis(
      long usageChanges, long accelerators, long processors, long memoryMb, long settings) {}

  /** Creates shares of the given capacity. */
  DominantShares(CapacityInUse capacity, WorkspaceUsage usage) {
    this.capacity = capacity;
    this.usage = usage;
  }

  /** Sets the workspaces by name; others have weight 1. */
  void setWorkspaces(Map<String, Workspace> next) {
    workspaces = Map.copyOf(next);
    settingChanges++;
  }

  /** Sets the workspaces that have waiting jobs. */
  void setWaiting(Set<String> next) {
    if (!waiting.equals(next)) {
      waiting.clear();
      waiting.addAll(next);
      settingChanges++;
    }
  }

  /** Returns the share of all work of a workspace, divided by its weight. */
  double ofAllWork(String workspace) {
    return fraction(usage.ofAllWork(workspace)) / weight(workspace);
  }

  /** Returns the share of the urgent work of a workspace, divided by its weight. */
  double ofUrgentWork(String workspace) {
    return fraction(usage.ofUrgentWork(workspace)) / weight(workspace);
  }

  /** Returns by how much the share of its workspace would grow if a job started. */
  double demand(Job job) {
    ResourceAmount task = job.taskAmount();
    WorkspaceUsage.Held gang =
        new WorkspaceUsage.Held(
            (long) job.tasks() * task.processors(),
            (long) job.tasks() * task.memoryMb(),
            (long) job.tasks() * task.accelerators());
    return fraction(gang) / weight(job.workspace());
  }

  /**
   * Returns the share that each workspace with running or waiting work would have if what is held
   * were divided in proportion to the weights.
   */
  double equalShare() {
    double held = 0;
    double weights = 0;
    for (String workspace : usage.workspaces()) {
      held += fraction(usage.ofAllWork(workspace));
      weights += weight(workspace);
    }
    for (String workspace : waiting) {
      weights += usage.workspaces().contains(workspace) ? 0 : weight(workspace);
    }
    return weights == 0 ? 0 : held / weights;
  }

  @Override
  public boolean isExceeded(String workspace) {
    Basis basis =
        new Basis(
            usage.changes(),
            capacity.usableAccelerators(),
            capacity.usableProcessors(),
            capacity.usableMemoryMb(),
            settingChanges);
    if (!basis.equals(basisOfExceeding)) {
      basisOfExceeding = basis;
      exceeding.clear();
      double limit = TOLERANCE * equalShare();
      usage.workspaces().stream().filter(held -> ofAllWork(held) > limit).forEach(exceeding::add);
    }
    return exceeding.contains(workspace);
  }

  /** Returns the shares of the workspaces that hold resources, divided by their weights. */
  Map<String, Double> byWorkspace() {
    Map<String, Double> shares = new TreeMap<>();
    usage.workspaces().forEach(workspace -> shares.put(workspace, ofAllWork(workspace)));
    return shares;
  }

  /** Returns a text for operators with the share of a workspace and the equal share. */
  String describe(String workspace) {
    return String.format(
        Locale.ROOT,
        "workspace %s holds %.1f%% of its dominant resource per weight, equal share %.1f%%",
        workspace,
        PERCENT * ofAllWork(workspace),
        PERCENT * equalShare());
  }

  private int weight(String workspace) {
    Workspace known = workspaces.get(workspace);
    return known == null ? 1 : known.weight();
  }

  private double fraction(WorkspaceUsage.Held held) {
    return Math.max(
        fraction(held.accelerators(), capacity.usableAccelerators()),
        Math.max(
            fraction(held.processors(), capacity.usableProcessors()),
            fraction(held.memoryMb(), capacity.usableMemoryMb())));
  }

  private static double fraction(long held, long total) {
    return total == 0 ? 0 : (double) held / total;
  }
}
