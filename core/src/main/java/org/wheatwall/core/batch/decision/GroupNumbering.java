package org.wheatwall.core.batch.decision;

import java.util.Arrays;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.StepSpec;

/** Numbers the groups of an occurrence of a job, in the order of steps and indexes. */
final class GroupNumbering {
  private final BatchJob job;
  private final int[] firstOfStep;
  private final int groups;

  GroupNumbering(BatchJob job) {
    this.job = job;
    this.firstOfStep = new int[job.steps().size()];
    int next = 0;
    for (int step = 0; step < firstOfStep.length; step++) {
      firstOfStep[step] = next;
      next += job.steps().get(step).groups();
    }
    this.groups = next;
  }

  /** Returns the number of groups of an occurrence. */
  int groupsOfOccurrence() {
    return groups;
  }

  /** Returns the position of a group among all groups of its occurrence, from 0. */
  int positionOf(GroupKey group) {
    return firstOfStep[group.step()] + Math.max(0, group.index());
  }

  /** Returns the step to which the group at a position belongs. */
  int stepOf(int position) {
    int found = Arrays.binarySearch(firstOfStep, position);
    return found >= 0 ? found : -found - 2;
  }

  /** Returns the group at a position of an occurrence. */
  GroupKey groupAt(int occurrence, int position) {
    int step = stepOf(position);
    StepSpec spec = job.steps().get(step);
    int index = spec.gang() ? GroupKey.WHOLE_STEP : position - firstOfStep[step];
    return new GroupKey(job.id(), occurrence, step, index);
  }
}
