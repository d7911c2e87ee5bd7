package org.wheatwall.standin.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.core.batch.model.TaskName;

/**
 * Decides by a hash which workers may run a step, so that the decision for a worker never changes,
 * and checks the permit in a start command. Pure: the caller passes the time in.
 */
public final class PermitModel {
  private static final int PERCENT = 100;
  private static final String FIELD_SEPARATOR = "@";
  private static final int FIELDS = 3;

  private final int grantedPercent;
  private final int validMs;

  /**
   * Creates the model.
   *
   * @param grantedPercent percentage of workers that may run a step
   * @param validMs validity of a permit, milliseconds
   */
  public PermitModel(int grantedPercent, int validMs) {
    this.grantedPercent = grantedPercent;
    this.validMs = validMs;
  }

  /** Returns the permits for the workers of a request. */
  public PermitResponse decide(PermitRequest request, long nowMs) {
    Map<String, String> permitByWorker = new HashMap<>();
    for (String worker : request.workers()) {
      if (isGranted(request.step(), worker)) {
        String permit =
            toStepName(request.step())
                + FIELD_SEPARATOR
                + worker
                + FIELD_SEPARATOR
                + (nowMs + validMs);
        permitByWorker.put(worker, permit);
      }
    }
    return new PermitResponse(permitByWorker, validMs);
  }

  /** Returns whether a worker may run a step. */
  public boolean isGranted(StepKey step, String worker) {
    // Hashes of strings that differ only in the last digit are close together; seeding a random
    // generator with them spreads the results.
    long seed = (toStepName(step) + worker).hashCode();
    return new SplittableRandom(seed).nextInt(PERCENT) < grantedPercent;
  }

  /** Returns whether a permit allows a task to start on a worker now. */
  public boolean isValid(TaskName task, String worker, String permit, long nowMs) {
    String[] fields = permit.split(FIELD_SEPARATOR, -1);
    StepKey step = new StepKey(task.jobId(), task.occurrence(), task.step());
    return fields.length == FIELDS
        && fields[0].equals(toStepName(step))
        && fields[1].equals(worker)
        && nowMs < Long.parseLong(fields[2]);
  }

  private static String toStepName(StepKey step) {
    return step.jobId() + "." + step.occurrence() + "." + step.step();
  }
}
