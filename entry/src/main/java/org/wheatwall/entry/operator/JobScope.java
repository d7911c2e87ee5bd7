package org.wheatwall.entry.operator;

import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Job;

/**
 * Which objects a call may touch: all, or the jobs of one workspace. What it may not touch looks as
 * if it did not exist.
 *
 * @param workspace the one workspace, empty for no bound
 */
record JobScope(Optional<String> workspace) {
  /** No bound. */
  static final JobScope ALL = new JobScope(Optional.empty());

  /** Returns the scope of one workspace's token. */
  static JobScope of(String workspace) {
    return new JobScope(Optional.of(workspace));
  }

  /** Returns whether {@code object} may be seen and changed. */
  boolean includes(Resource object) {
    return workspace.isEmpty()
        || (object instanceof Job job && job.workspace().equals(workspace.get()));
  }

  /** Refuses kinds of objects that do not belong to a workspace. */
  void requireKind(ResourceKind kind) {
    if (workspace.isPresent() && kind != ResourceKind.JOBS) {
      throw forbidden();
    }
  }

  /** Refuses to write a job of another workspace. */
  void requireIncluded(Resource object) {
    if (!includes(object)) {
      throw forbidden();
    }
  }

  /** Refuses what only operators may see. */
  void requireUnrestricted() {
    if (workspace.isPresent()) {
      throw forbidden();
    }
  }

  private Refusal forbidden() {
    return new Refusal(
        RefusalKind.FORBIDDEN,
        "the token is for the jobs of workspace " + workspace.orElse("") + " only",
        "name a job of that workspace, or use an operator's token");
  }
}
