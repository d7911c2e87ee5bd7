package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;

/**
 * Capacity that a workspace can always reclaim: enough for {@code units} gangs of {@code tasks}
 * tasks each, with the given adjacency, in one availability zone. It is stated as a gang rather
 * than as a total, because eight accelerators in one rack are worth more to a gang than eight
 * scattered ones.
 */
public record GuaranteedShape(
    Labels labels,
    String workspace,
    String zone,
    int tasks,
    ResourceAmount taskAmount,
    Adjacency adjacency,
    int units)
    implements Resource {
  private static final int MAX_UNITS = 10_000;

  /** Validates and applies defaults. */
  public GuaranteedShape {
    labels = labels == null ? Labels.NONE : labels;
    Names.require("workspace", workspace);
    Names.require("zone", zone);
    Names.requireRange("tasks", tasks, 1, Job.MAX_TASKS);
    units = units == 0 ? 1 : units;
    Names.requireRange("units", units, 1, MAX_UNITS);
    if (adjacency == null) {
      throw Refusal.invalid("adjacency is missing", "give any, same-rack or same-host");
    }
    if (taskAmount == null) {
      throw Refusal.invalid("taskAmount is missing", "give processors, memoryMb, accelerators");
    }
  }

  /** Returns whether {@code job} belongs to this workspace and zone and fits into one unit. */
  public boolean canHold(Job job) {
    return job.workspace().equals(workspace)
        && job.zone().equals(zone)
        && job.tasks() <= tasks
        && taskAmount.covers(job.taskAmount())
        && job.adjacency().compareTo(adjacency) <= 0;
  }
}
