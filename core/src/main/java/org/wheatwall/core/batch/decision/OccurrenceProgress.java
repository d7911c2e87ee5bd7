package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;

/** The progress of one occurrence of a job: its done steps and those whose groups may start. */
final class OccurrenceProgress {
  private final int number;
  private final BatchJob job;
  private final int[] doneGroups;
  private final Map<Integer, OpenStep> openSteps = new HashMap<>();
  private int doneSteps;
  private boolean opened;

  OccurrenceProgress(int number, BatchJob job) {
    this.number = number;
    this.job = job;
    this.doneGroups = new int[job.steps().size()];
  }

  /** Records that one more group of a step is done; returns whether the step is done with it. */
  boolean recordGroupDone(int step) {
    doneGroups[step]++;
    if (doneGroups[step] != job.steps().get(step).groups()) {
      return false;
    }
    doneSteps++;
    openSteps.remove(step);
    return true;
  }

  boolean isStepDone(int step) {
    return doneGroups[step] >= job.steps().get(step).groups();
  }

  boolean isDone() {
    return doneSteps == doneGroups.length;
  }

  /** Returns whether its steps may start as far as their due time is concerned. */
  boolean opened() {
    return opened;
  }

  void open() {
    opened = true;
  }

  /** Returns a step whose groups may start; empty if it is blocked or done. */
  Optional<OpenStep> openStep(int step) {
    return Optional.ofNullable(openSteps.get(step));
  }

  /** Opens the steps that are no longer blocked and returns them. */
  List<OpenStep> openUnblockedSteps() {
    List<OpenStep> added = new ArrayList<>();
    for (int step = 0; step < doneGroups.length; step++) {
      StepSpec spec = job.steps().get(step);
      boolean candidate = !openSteps.containsKey(step) && !isStepDone(step);
      if (candidate && spec.after().stream().allMatch(this::isStepDone)) {
        OpenStep next = new OpenStep(number, step, spec.groups());
        openSteps.put(step, next);
        added.add(next);
      }
    }
    return added;
  }
}
