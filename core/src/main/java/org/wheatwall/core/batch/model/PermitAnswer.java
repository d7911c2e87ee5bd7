package org.wheatwall.core.batch.model;

import java.util.Map;
import org.wheatwall.core.common.Names;

/**
 * Which workers of a {@link PermitQuestion} may run its step.
 *
 * @param textByWorker what a start there has to carry, by worker; workers that may not run it are
 *     missing
 * @param validMs how long the texts hold, milliseconds
 */
public record PermitAnswer(Map<String, String> textByWorker, int validMs) {
  /** Validates. */
  public PermitAnswer {
    textByWorker = Map.copyOf(textByWorker);
    Names.requireRange("validMs", validMs, 0, Integer.MAX_VALUE);
  }
}
