package org.wheatwall.core.job.decision;

import java.util.List;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** A decision of the scheduler, carried out by the gang protocol. */
public sealed interface Decision {
  /**
   * Starts a gang as soon as its victims have ended.
   *
   * @param victims attempts whose end must be confirmed before the gang starts
   */
  record Start(String attemptId, String jobName, Job job, Placement placement, List<String> victims)
      implements Decision {}

  /** Reports that an exception prevented a decision about a job, which keeps waiting. */
  record Failed(String jobName, String cause) implements Decision {}

  /** Checkpoints and stops a whole gang. */
  record Stop(String attemptId, String reason) implements Decision {}
}
