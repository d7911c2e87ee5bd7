package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostSpeeds;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.model.HostSpeed;

/** Applies host speeds, learned from run times in the job log, to the scheduler of a term. */
final class HostSpeedUpdater {
  private final TermState term;
  private final HostSpeeds speeds;
  private final boolean enabled;

  HostSpeedUpdater(TermState term, HostSpeeds speeds, Mechanisms mechanisms) {
    this.term = term;
    this.speeds = speeds;
    this.enabled = mechanisms.isEnabled(Mechanism.HOST_PACES);
  }

  /** Applies the learned speed of a worker that has been listed. */
  void onListed(String worker) {
    refresh(worker);
  }

  /** Applies the speeds that have changed since the last call. */
  void applyChanges() {
    speeds.takeChanged().forEach(this::refresh);
  }

  private void refresh(String worker) {
    HostState host = term.scheduler.cluster().host(worker).orElse(null);
    HostSpeed speed = speeds.of(worker);
    if (enabled && host != null && host.speed() != speed) {
      term.scheduler.cluster().setSpeed(worker, speed);
      term.logEvent(
          RunEvent.Kind.WORKER_PACE, "", worker, speed + " by the run times of its tasks");
    }
  }
}
