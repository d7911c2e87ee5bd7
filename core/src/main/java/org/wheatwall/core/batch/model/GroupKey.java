package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * Identifies a group of tasks that start together: all tasks of a gang, or a single task.
 *
 * @param occurrence index of the job's due time, from 0
 * @param step index of the step in the job
 * @param index index of the task in the step, or {@value #WHOLE_STEP} for the gang of a step
 */
public record GroupKey(String jobId, int occurrence, int step, int index) {
  /** Index of a group that consists of the whole step. */
  public static final int WHOLE_STEP = -1;

  /** Returns the key of a gang. */
  public static GroupKey gang(String jobId, int occurrence, int step) {
    return new GroupKey(jobId, occurrence, step, WHOLE_STEP);
  }

  /** Returns the group to which a task belongs. */
  public static GroupKey of(TaskName task, StepSpec step) {
    int index = step.gang() ? WHOLE_STEP : task.index();
    return new GroupKey(task.jobId(), task.occurrence(), task.step(), index);
  }

  /** Returns the name of the group's task at position {@code member}, counted from 0. */
  public TaskName task(int member) {
    return new TaskName(jobId, occurrence, step, index == WHOLE_STEP ? member : index);
  }

  /** Returns the key as text, for {@link #parse}. */
  public String text() {
    String text = jobId + "." + occurrence + "." + step;
    return index == WHOLE_STEP ? text : text + "." + index;
  }

  /** Parses a key; returns empty if {@code text} is not a key. */
  public static Optional<GroupKey> parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != 3 && parts.length != 4) {
      return Optional.empty();
    }
    try {
      int index = parts.length == 3 ? WHOLE_STEP : Integer.parseInt(parts[3]);
      int occurrence = Integer.parseInt(parts[1]);
      return Optional.of(new GroupKey(parts[0], occurrence, Integer.parseInt(parts[2]), index));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
