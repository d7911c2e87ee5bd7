package org.wheatwall.core.batch.model;

import java.util.List;
import org.wheatwall.core.common.Names;

/**
 * Asks which of some workers may run a step.
 *
 * @param workers identifiers of workers, each a life of its own
 * @param urgent whether the step's job goes before others
 */
public record PermitRequest(StepKey step, List<String> workers, boolean urgent) {
  /** Most workers of one question; the users' service takes no more at once. */
  public static final int MAX_WORKERS = 100;

  /** Validates. */
  public PermitRequest {
    workers = List.copyOf(workers);
    Names.requireRange("workers of a question", workers.size(), 1, MAX_WORKERS);
  }
}
