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
import org.wheatwall.core.job.shadow.ShadowRuns;

/**
 * Drives gangs through their phases from start to end and requests exchanges with their workers
 * when a gang waits for a report. Confined to the decision loop.
 */
final class AttemptLifecycle {
  // Minimum time between two exchanges with a worker for whose report a gang waits.
  private static final long RETRY_MS = 100;
  // Running gangs change only by reports; all are checked at this interval in case one was missed.
  private static final long SWEEP_MS = 250;

  private final WorkerConnections connections;
  private final GangTable gangs;
  private final AttemptEndHandler endHandler;
  private final ShadowRuns shadowRuns;
  private final Supplier<Scheduler> scheduler;
  private final Runnable onAttemptEnded;
  private final Meter startMeter;
  private final Meter stopMeter;
  private long nextSweepMs;

  /**
   * Creates the lifecycle driver of one decider.
   *
   * @param scheduler returns the scheduler of the current duty
   * @param onAttemptEnded run after each end of an attempt, since waiting jobs may then start
   */
  AttemptLifecycle(
      WorkerConnections connections,
      GangTable gangs,
      AttemptEndHandler endHandler,
      ShadowRuns shadowRuns,
      Supplier<Scheduler> scheduler,
      Runnable onAttemptEnded,
      MetricRegistry metrics) {
    this.connections = connections;
    this.gangs = gangs;
    this.endHandler = endHandler;
    this.shadowRuns = shadowRuns;
    this.scheduler = scheduler;
    this.onAttemptEnded = onAttemptEnded;
    this.startMeter = metrics.meter("jobs.attempts-started");
    this.stopMeter = metrics.meter("jobs.attempts-stopped");
  }

  /** Begins a gang; it starts once the gangs that it preempts have ended. */
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

  /** Requests that a gang be stopped. */
  void stop(GangAttempt attempt, long nowMs) {
    stopMeter.mark();
    attempt.requestStop(nowMs);
    connections.requestExchanges(attempt.hosts());
  }

  /** Advances the gangs that start or stop, and all gangs at a longer interval. */
  void sweep(long nowMs) {
    boolean sweepAll = nowMs >= nextSweepMs;
    if (sweepAll) {
      nextSweepMs = nowMs + SWEEP_MS;
    }
    for (GangAttempt attempt : new ArrayList<>(gangs.all())) {
      if (sweepAll || attempt.phase() != GangPhase.RUNNING) {
        advance(attempt, nowMs);
      }
    }
  }

  /** Advances one gang as far as the reports about it allow. */
  void advance(GangAttempt attempt, long nowMs) {
    GangPhase previous = attempt.phase();
    attempt.advance(nowMs);
    if (attempt.phase() != previous) {
      connections.requestExchanges(attempt.hosts());
    } else if (awaitsWorkers(attempt)) {
      for (String host : attempt.hosts()) {
        connections
            .get(host)
            .filter(connection -> connection.isIdleFor(RETRY_MS, nowMs))
            .ifPresent(WorkerConnection::requestExchange);
      }
    }
    if (attempt.phase() == GangPhase.ENDED && previous != GangPhase.ENDED) {
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
        long runTimeMs = nowMs - running.startedAtMs();
        shadowRuns.forEach(run -> run.onSucceeded(attempt.jobName(), runTimeMs, nowMs));
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
