package org.wheatwall.entry.job;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.function.Supplier;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.decision.GangPhase;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.RunningAttempt;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.shadow.Shadows;

/**
 * Takes gangs from their start through each phase to their end, and asks their workers when that
 * helps. Confined to the decision loop.
 */
final class AttemptLifecycle {
  // A worker that has not answered an exchange is asked again after this time.
  private static final long RETRY_MS = 100;
  // Running gangs change only by reports; all are looked at this often in case one was missed.
  private static final long SWEEP_MS = 250;

  private final WorkerConnections connections;
  private final GangTable gangs;
  private final AttemptEndHandler endHandler;
  private final Shadows shadowRuns;
  private final Supplier<Scheduler> scheduler;
  private final Runnable onAttemptEnded;
  private final Meter startMeter;
  private final Meter stopMeter;
  private long nextSweepMs;

  /**
   * Creates the courses of one decider.
   *
   * @param scheduler the scheduler of the duty held now
   * @param whenEnded run after each end, when others may start
   */
  AttemptLifecycle(
      WorkerConnections links,
      GangTable gangs,
      AttemptEndHandler ends,
      Shadows shadows,
      Supplier<Scheduler> scheduler,
      Runnable whenEnded,
      MetricRegistry metrics) {
    this.connections = links;
    this.gangs = gangs;
    this.endHandler = ends;
    this.shadowRuns = shadows;
    this.scheduler = scheduler;
    this.onAttemptEnded = whenEnded;
    this.startMeter = metrics.meter("jobs.attempts-started");
    this.stopMeter = metrics.meter("jobs.attempts-stopped");
  }

  /** Begins a gang; it starts once the gangs that it takes the place of have ended. */
  void begin(Decision.Start start, long nowMs) {
    startMeter.mark();
    GangAttempt attempt =
        GangAttempt.begin(
            start.attemptId(),
            start.jobName(),
            start.job(),
            start.placement(),
            connections.times(),
            new HashSet<>(start.victims()),
            nowMs);
    start.victims().stream()
        .filter(victim -> gangs.get(victim).isEmpty())
        .forEach(attempt::onAttemptEnded);
    gangs.add(attempt);
    advance(attempt, nowMs);
  }

  /** Asks for a gang to be stopped. */
  void stop(GangAttempt attempt, long nowMs) {
    stopMeter.mark();
    attempt.requestStop(nowMs);
    connections.requestExchanges(attempt.hosts());
  }

  /** Does what time brings for gangs that start or stop, and now and then for all. */
  void sweep(long nowMs) {
    boolean all = nowMs >= nextSweepMs;
    if (all) {
      nextSweepMs = nowMs + SWEEP_MS;
    }
    for (GangAttempt attempt : new ArrayList<>(gangs.all())) {
      if (all || attempt.phase() != GangPhase.RUNNING) {
        advance(attempt, nowMs);
      }
    }
  }

  /** Takes one gang as far as what is known of it allows. */
  void advance(GangAttempt attempt, long nowMs) {
    GangPhase before = attempt.phase();
    attempt.advance(nowMs);
    if (attempt.phase() != before) {
      connections.requestExchanges(attempt.hosts());
    } else if (awaitsWorkers(attempt)) {
      for (String host : attempt.hosts()) {
        connections
            .get(host)
            .filter(link -> link.isIdleFor(RETRY_MS, nowMs))
            .ifPresent(WorkerConnection::requestExchange);
      }
    }
    if (attempt.phase() == GangPhase.ENDED && before != GangPhase.ENDED) {
      recordInShadowRuns(attempt, nowMs);
      endHandler.onAttemptEnded(attempt, scheduler.get(), nowMs);
      onAttemptEnded.run();
    }
  }

  private void recordInShadowRuns(GangAttempt attempt, long nowMs) {
    if (attempt.endReason() != EndReason.SUCCEEDED) {
      return;
    }
    for (RunningAttempt running : scheduler.get().running()) {
      if (running.attemptId().equals(attempt.attemptId())) {
        long tookMs = nowMs - running.startedAtMs();
        shadowRuns.forEach(run -> run.succeeded(attempt.jobName(), tookMs, nowMs));
        return;
      }
    }
  }

  private static boolean awaitsWorkers(GangAttempt attempt) {
    return switch (attempt.phase()) {
      case RESERVING, STARTING, CHECKPOINTING, STOPPING -> true;
      case WAITING_FOR_ROOM, RUNNING, ENDED -> false;
    };
  }
}
