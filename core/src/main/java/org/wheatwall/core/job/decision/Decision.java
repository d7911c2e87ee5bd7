package org.wheatwall.core.job.decision;

import java.util.List;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** What the scheduler decided; carried out by the gang protocol. */
public sealed interface Decision {
  /**
   * Run a gang as soon as its victims have ended.
   *
   * @param victims attempts whose end must be confirmed first
   */
  record Start(String attemptId, String jobName, Job job, Placement placement, List<String> victims)
      implements Decision {}

  /** A job could not be looked at, by a fault of this program; it waits on. */
  record Failed(String jobName, String cause) implements Decision {}

  /** Checkpoint and stop a whole gang. */
  record Stop(String attemptId, String reason) implements Decision {}
}
