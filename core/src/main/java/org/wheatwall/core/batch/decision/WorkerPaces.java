package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostPaces;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.model.HostPace;

/** Tells the scheduler of a term how fast workers are, by what was learned from the job log. */
final class WorkerPaces {
  private final TermState term;
  private final HostPaces paces;
  private final boolean used;

  WorkerPaces(TermState term, HostPaces paces, Mechanisms mechanisms) {
    this.term = term;
    this.paces = paces;
    this.used = mechanisms.isEnabled(Mechanism.HOST_PACES);
  }

  /** Takes over what is known of a worker that is listed. */
  void listed(String worker) {
    refresh(worker);
  }

  /** Takes over what has been learned since this was last called. */
  void takeChanges() {
    paces.takeChanged().forEach(this::refresh);
  }

  private void refresh(String worker) {
    HostState host = term.scheduler.cluster().host(worker).orElse(null);
    HostPace pace = paces.of(worker);
    if (used && host != null && host.pace() != pace) {
      term.scheduler.cluster().setPace(worker, pace);
      term.note(RunEvent.Kind.WORKER_PACE, "", worker, pace + " by the run times of its tasks");
    }
  }
}
