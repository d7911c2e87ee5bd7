package org.wheatwall.standin.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.core.batch.model.TaskName;

/**
 * Decides by a hash which workers may run a step, so that the answer for a worker never changes,
 * and tells whether a text that a start carries holds. Pure: time is passed in.
 */
public final class PermitModel {
  private static final int PERCENT = 100;
  private static final String SEPARATOR = "@";
  private static final int PARTS = 3;

  private final int grantedPercent;
  private final int validMs;

  /**
   * Creates the model.
   *
   * @param grantedPercent share of workers that may run a step
   * @param validMs how long a text holds, milliseconds
   */
  public PermitModel(int grantedPercent, int validMs) {
    this.grantedPercent = grantedPercent;
    this.validMs = validMs;
  }

  /** Answers a question. */
  public PermitAnswer decide(PermitQuestion question, long nowMs) {
    Map<String, String> textByWorker = new HashMap<>();
    for (String worker : question.workers()) {
      if (isGranted(question.step(), worker)) {
        String text = name(question.step()) + SEPARATOR + worker + SEPARATOR + (nowMs + validMs);
        textByWorker.put(worker, text);
      }
    }
    return new PermitAnswer(textByWorker, validMs);
  }

  /** Returns whether a worker may run a step. */
  public boolean isGranted(StepKey step, String worker) {
    // Hashes of names that differ in their last digit are close together; what is drawn from them
    // is not.
    long seed = (name(step) + worker).hashCode();
    return new SplittableRandom(seed).nextInt(PERCENT) < grantedPercent;
  }

  /** Returns whether a start of a task at a worker may carry this text now. */
  public boolean isValid(TaskName task, String worker, String text, long nowMs) {
    String[] parts = text.split(SEPARATOR, -1);
    StepKey step = new StepKey(task.jobId(), task.occurrence(), task.step());
    return parts.length == PARTS
        && parts[0].equals(name(step))
        && parts[1].equals(worker)
        && nowMs < Long.parseLong(parts[2]);
  }

  private static String name(StepKey step) {
    return step.jobId() + "." + step.occurrence() + "." + step.step();
  }
}
