package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostPaces;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.model.HostPace;

/** Applies host speeds, learned from run times in the job log, to the scheduler of a term. */
final class HostSpeedUpdater {
  private final TermState term;
  private final HostPaces speeds;
  private final boolean enabled;

  HostSpeedUpdater(TermState term, HostPaces speeds, Mechanisms mechanisms) {
    this.term = term;
    this.speeds = speeds;
    this.enabled = mechanisms.on(Mechanism.HOST_PACES);
  }

  /** Applies the learned speed of a worker that is listed. */
  void onListed(String worker) {
    refresh(worker);
  }

  /** Applies the speeds that have changed since the last call. */
  void applyChanges() {
    speeds.takeChanged().forEach(this::refresh);
  }

  private void refresh(String worker) {
    HostState host = term.scheduler.cluster().host(worker).orElse(null);
    HostPace speed = speeds.of(worker);
    if (enabled && host != null && host.pace() != speed) {
      term.scheduler.cluster().setPace(worker, speed);
      term.note(RunEvent.Kind.WORKER_PACE, "", worker, speed + " by the run times of its tasks");
    }
  }
}
