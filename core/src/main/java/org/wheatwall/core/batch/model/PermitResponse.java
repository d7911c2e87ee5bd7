package org.wheatwall.core.batch.model;

import java.util.Map;
import org.wheatwall.core.common.Names;

/**
 * Which workers of a {@link PermitRequest} may run its step.
 *
 * @param permitByWorker what a start there has to carry, by worker; workers that may not run it are
 *     missing
 * @param validMs how long the texts hold, milliseconds
 */
public record PermitResponse(Map<String, String> permitByWorker, int validMs) {
  /** Validates. */
  public PermitResponse {
    permitByWorker = Map.copyOf(permitByWorker);
    Names.requireRange("validMs", validMs, 0, Integer.MAX_VALUE);
  }
}
