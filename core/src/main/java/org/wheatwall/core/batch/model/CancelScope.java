package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The jobs that a caller may cancel.
 *
 * @param workspace workspace of the caller
 * @param openQueue queue through which the call came, if any caller may cancel the jobs of it
 */
public record CancelScope(String workspace, Optional<String> openQueue) {
  /** Validates. */
  public CancelScope {
    Objects.requireNonNull(workspace);
    Objects.requireNonNull(openQueue);
  }

  /** Returns whether the caller may cancel the jobs of a workspace in a queue. */
  public boolean covers(String jobWorkspace, String queue) {
    return jobWorkspace.equals(workspace) || openQueue.filter(queue::equals).isPresent();
  }
}
