package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RunTimeRatios;

/** Applies run time ratios of workers to the scheduler of a term. */
final class RunTimeRatioUpdater {
  // A change of a worker is logged from this factor on, and at most so many changes per interval.
  private static final double LOGGED_FACTOR = 1.2;
  private static final int MAX_LOGGED = 20;
  private static final long LOG_INTERVAL_MS = 10_000;

  private final TermState term;
  private final RunTimeRatios ratios;
  private Optional<Boolean> unequal = Optional.empty();
  private int logged;
  private int notLogged;
  private long intervalStartMs = Long.MIN_VALUE;

  RunTimeRatioUpdater(TermState term, RunTimeRatios ratios) {
    this.term = term;
    this.ratios = ratios;
  }

  /** Applies the ratio of a worker that has been listed. */
  void onListed(String worker) {
    apply(worker);
  }

  /** Applies the ratios that have changed since the last call. */
  void applyChanges() {
    if (!unequal.equals(Optional.of(ratios.unequal()))) {
      unequal = Optional.of(ratios.unequal());
      RunTimeRatios.Summary summary = ratios.summary();
      term.logEvent(
          ratios.unequal() ? RunEvent.Kind.WORKERS_UNEQUAL : RunEvent.Kind.WORKERS_EQUAL,
          "",
          "",
          summary.different()
              + " of "
              + summary.measured()
              + " measured workers differ from the median, spread "
              + percent(summary.spread()));
    }
    ratios.takeChanged().forEach(this::apply);
  }

  private void apply(String worker) {
    HostState host = term.scheduler.cluster().host(worker).orElse(null);
    double ratio = ratios.ratio(worker);
    if (host != null && host.runTimeRatio() != ratio) {
      double factor = ratio / host.runTimeRatio();
      term.scheduler.cluster().setRunTimeRatio(worker, ratio);
      if (Math.max(factor, 1 / factor) >= LOGGED_FACTOR) {
        log(worker, ratio);
      }
    }
  }

  private void log(String worker, double ratio) {
    if (intervalStartMs == Long.MIN_VALUE || term.nowMs - intervalStartMs >= LOG_INTERVAL_MS) {
      intervalStartMs = term.nowMs;
      logged = 0;
    }
    if (logged >= MAX_LOGGED) {
      notLogged++;
      return;
    }
    logged++;
    String others = notLogged == 0 ? "" : "; " + notLogged + " changes before were not logged";
    notLogged = 0;
    term.logEvent(
        RunEvent.Kind.WORKER_RUN_TIME_RATIO,
        "",
        worker,
        "tasks take " + percent(ratio) + " of their time on the median worker" + others);
  }

  private static String percent(double fraction) {
    return Math.round(fraction * 100) + "%";
  }
}
