package org.wheatwall.entry.operator;

import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Job;

/**
 * The objects that a call may access: all, or the jobs of one workspace. Reads and deletions report
 * other objects as not found.
 *
 * @param workspace the workspace to which access is limited, empty for no limit
 */
record JobScope(Optional<String> workspace) {
  /** Access to all objects. */
  static final JobScope ALL = new JobScope(Optional.empty());

  /** Returns the scope of a token of {@code workspace}. */
  static JobScope of(String workspace) {
    return new JobScope(Optional.of(workspace));
  }

  /** Returns whether {@code object} may be read and changed. */
  boolean includes(Resource object) {
    return workspace.isEmpty()
        || (object instanceof Job job && job.workspace().equals(workspace.get()));
  }

  /** Throws a {@link Refusal} if the scope is limited and {@code kind} is not jobs. */
  void requireKind(ResourceKind kind) {
    if (workspace.isPresent() && kind != ResourceKind.JOBS) {
      throw forbidden();
    }
  }

  /** Throws a {@link Refusal} if the scope does not include {@code object}. */
  void requireIncluded(Resource object) {
    if (!includes(object)) {
      throw forbidden();
    }
  }

  /** Throws a {@link Refusal} if the scope is limited to a workspace. */
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
