package org.wheatwall.core.batch.model;

import java.util.List;
import org.wheatwall.core.common.Names;

/**
 * Request for permits: which of the given workers may run a step.
 *
 * @param workers names of worker incarnations
 * @param urgent whether the step's job is urgent
 */
public record PermitRequest(StepKey step, List<String> workers, boolean urgent) {
  /** Most workers in one request; the permit service accepts no more. */
  public static final int MAX_WORKERS = 100;

  /** Validates. */
  public PermitRequest {
    workers = List.copyOf(workers);
    Names.requireRange("workers of a permit request", workers.size(), 1, MAX_WORKERS);
  }
}
