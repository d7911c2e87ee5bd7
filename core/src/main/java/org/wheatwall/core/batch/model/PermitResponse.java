package org.wheatwall.core.batch.model;

import java.util.Map;
import org.wheatwall.core.common.Names;

/**
 * Response to a {@link PermitRequest}: the workers that may run its step.
 *
 * @param permitByWorker permit text that a start command has to carry, by worker; workers that may
 *     not run the step are missing
 * @param validMs validity of the permits, milliseconds
 */
public record PermitResponse(Map<String, String> permitByWorker, int validMs) {
  /** Validates. */
  public PermitResponse {
    permitByWorker = Map.copyOf(permitByWorker);
    Names.requireRange("validMs", validMs, 0, Integer.MAX_VALUE);
  }
}
