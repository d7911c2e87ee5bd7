package org.wheatwall.entry.batch.worker;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import org.wheatwall.core.batch.decision.LateResponses;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.wire.http.Problems;

/**
 * Polls workers for their tasks and renews the leases there: one call at a time per worker, as long
 * as tasks run there or ends have to be acknowledged. Workers that have not reported yet are polled
 * a limited number at a time, those on which tasks may run first.
 *
 * <p>Not thread-safe; the decision loop owns it. One instance serves one term.
 */
public final class WorkerPoller {
  private static final int LONG_POLL_MS = 1000;
  private static final int RETRY_MS = 200;
  // While ends of a worker are being logged, its reports return at once, so it is polled for
  // renewals only. A slow log would otherwise cause a call per millisecond and worker.
  private static final int POLL_INTERVAL_WHILE_LOGGING_MS = 500;
  private static final int SUSPECT_AFTER_MS = 1500;
  private static final int STOP_EXTENDING_AFTER_MS = 2000;
  // A new decider polls every worker. A host with a third of a core needs some 10 ms for each first
  // call; with 245 at once every call timed out, and again when retried. With 24 at once, calls to
  // the workers of a partitioned zone blocked all others.
  private static final int MAX_FIRST_CALLS = 100;

  private final WorkerPort port;
  private final RunSupervisor supervisor;
  private final long term;
  private final int leaseMs;
  private final boolean suspectsLateWorkers;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final Map<String, Session> sessions = new HashMap<>();
  private final LateResponses lateResponses = new LateResponses();
  private final Set<String> newWorkersInUse = new LinkedHashSet<>();
  private final Set<String> newWorkers = new LinkedHashSet<>();
  private int firstCallsInFlight;

  /** Receives events that concern the term. */
  public interface Listener {
    /** Returns whether commands may be sent now. */
    boolean mayAct();

    /** Called when the report of a worker was processed. */
    void onReport();

    /** Called when a worker has seen a higher term. */
    void onFenced(String worker);
  }

  /** The estimate of one worker's clock, and the state of the calls to it. */
  private static final class Session {
    private String zone = "";
    private boolean polling;
    private boolean pollAgain;
    private boolean clockKnown;
    private long clockMs;
    private long clockAtMs;
    private long polledAtMs = Long.MIN_VALUE / 2;
    private long silentSinceMs = -1;
    private long deliveredAcknowledgement;
  }

  /**
   * Creates a poller for a term.
   *
   * @param leaseMs longest lease of the tasks on a worker, milliseconds
   * @param suspectsLateWorkers whether workers that respond late get no new work
   */
  public WorkerPoller(
      WorkerPort port,
      RunSupervisor supervisor,
      long term,
      int leaseMs,
      boolean suspectsLateWorkers,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      Listener listener) {
    this.port = port;
    this.supervisor = supervisor;
    this.term = term;
    this.leaseMs = leaseMs;
    this.suspectsLateWorkers = suspectsLateWorkers;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.listener = listener;
  }

  /** Polls a worker soon, at once if no call is in flight. */
  public void pollSoon(String worker) {
    if (supervisor.isSuperseded(worker)) {
      return;
    }
    Session session = session(worker);
    if (session.polling) {
      session.pollAgain = true;
    } else {
      poll(worker, 0);
    }
  }

  /**
   * Returns the lease for a command sent now; empty while the worker's clock is not known or no
   * lease may be extended there.
   */
  public Optional<WorkerPort.Lease> lease(String worker) {
    Session session = session(worker);
    if (!session.clockKnown || !supervisor.mayExtendLeases(worker)) {
      return Optional.empty();
    }
    return Optional.of(new WorkerPort.Lease(term, leaseEndMs(session, leaseMs)));
  }

  /** Marks the clocks of all workers as unknown until they respond again. */
  public void invalidateClocks() {
    sessions.values().forEach(session -> session.clockKnown = false);
  }

  /**
   * Polls the workers that need it and have no call in flight; those that respond late get no new
   * work.
   *
   * @param dueMs when this call was due, milliseconds on the monotonic clock
   */
  public void tick(long dueMs) {
    if (suspectsLateWorkers) {
      suspectLateWorkers(dueMs);
    }
    for (String worker : supervisor.workersInUse()) {
      if (!session(worker).polling) {
        poll(worker, LONG_POLL_MS);
      }
    }
    for (String worker : supervisor.silentWorkers()) {
      if (!session(worker).polling) {
        poll(worker, 0);
      }
    }
  }

  // Responses that arrived after this call was due may wait behind it on a busy loop. Earlier ones
  // have been processed.
  private void suspectLateWorkers(long dueMs) {
    long nowMs = clock.nowMs();
    for (String worker : lateResponses.lateWorkers(dueMs)) {
      supervisor.onWorkerUnreachable(worker, "its answer is late", nowMs);
    }
    for (String zone : lateResponses.silentZones(dueMs)) {
      for (String worker : supervisor.usableWorkersIn(zone)) {
        suspectWithZone(worker, nowMs);
      }
    }
  }

  private void suspectWithZone(String worker, long nowMs) {
    if (lateResponses.maySuspectWithZone(worker, nowMs)) {
      lateResponses.onSuspectedWithZone(worker);
      supervisor.onWorkerUnreachable(worker, "no worker of its zone answers", nowMs);
      pollSoon(worker);
    }
  }

  private Session session(String worker) {
    return sessions.computeIfAbsent(worker, key -> new Session());
  }

  private void forget(String worker) {
    sessions.remove(worker);
    lateResponses.remove(worker);
  }

  private long leaseEndMs(Session session, int durationMs) {
    return session.clockMs + (clock.nowMs() - session.clockAtMs) + durationMs;
  }

  private void poll(String worker, int waitMs) {
    Optional<WorkerInfo> info = supervisor.workerInfo(worker);
    if (info.isEmpty() || !listener.mayAct()) {
      return;
    }
    Session session = session(worker);
    if (!session.clockKnown && firstCallsInFlight >= MAX_FIRST_CALLS) {
      (supervisor.needsReports(worker) ? newWorkersInUse : newWorkers).add(worker);
      return;
    }
    long sentMs = clock.nowMs();
    // It is polled once more as soon as the log allows to extend its leases.
    boolean awaitsLog =
        session.clockKnown && session.silentSinceMs < 0 && !supervisor.mayExtendLeases(worker);
    boolean logging = session.clockKnown && supervisor.hasUnloggedEnds(worker);
    if ((logging || awaitsLog) && sentMs - session.polledAtMs < POLL_INTERVAL_WHILE_LOGGING_MS) {
      return;
    }
    session.polling = true;
    session.pollAgain = false;
    session.polledAtMs = sentMs;
    session.zone = info.get().zone();
    int longPollMs = session.clockKnown ? waitMs : 0;
    if (session.clockKnown) {
      lateResponses.onQuerySent(worker, session.zone, sentMs + longPollMs);
    }
    boolean firstCall = !session.clockKnown;
    firstCallsInFlight += firstCall ? 1 : 0;
    boolean extendLeases =
        session.clockKnown
            && !isSilentFor(session, stopExtendingAfterMs(worker))
            && !supervisor.hasOnlyOrphanedRuns(worker)
            && supervisor.mayExtendLeases(worker);
    int renewalLeaseMs = supervisor.renewalLeaseMs(worker, sentMs);
    if (extendLeases) {
      supervisor.onLeaseSent(worker, renewalLeaseMs, sentMs);
    }
    WorkerPort.RenewCall call =
        new WorkerPort.RenewCall(
            term,
            extendLeases
                ? OptionalLong.of(leaseEndMs(session, renewalLeaseMs))
                : OptionalLong.empty(),
            newAcknowledgement(worker, session),
            longPollMs);
    LoopCallbacks.whenDone(
        port.renew(info.get(), call),
        loop,
        (report, failure) -> {
          firstCallsInFlight -= firstCall ? 1 : 0;
          if (failure == null) {
            session.deliveredAcknowledgement =
                Math.max(session.deliveredAcknowledgement, call.acknowledged());
          }
          onResponse(worker, session, sentMs, report, failure);
          pollNewWorkers();
        });
  }

  private void pollNewWorkers() {
    while (firstCallsInFlight < MAX_FIRST_CALLS
        && !(newWorkersInUse.isEmpty() && newWorkers.isEmpty())) {
      Set<String> source = newWorkersInUse.isEmpty() ? newWorkers : newWorkersInUse;
      String worker = source.iterator().next();
      source.remove(worker);
      if (!session(worker).polling) {
        poll(worker, 0);
      }
    }
  }

  // A draining worker that does not respond has probably left.
  private int stopExtendingAfterMs(String worker) {
    return supervisor.isDraining(worker) ? 0 : STOP_EXTENDING_AFTER_MS;
  }

  private boolean isSilentFor(Session session, int ms) {
    return session.silentSinceMs >= 0 && clock.nowMs() - session.silentSinceMs >= ms;
  }

  private void onResponse(
      String worker, Session session, long sentMs, WorkerInventory report, Throwable failure) {
    session.polling = false;
    if (failure == null) {
      lateResponses.onResponse(worker, session.zone, clock.nowMs());
    } else {
      lateResponses.onCallFailed(worker);
    }
    if (supervisor.isSuperseded(worker)) {
      forget(worker);
      return;
    }
    if (!listener.mayAct()) {
      return;
    }
    if (failure != null) {
      onFailure(worker, session, sentMs, failure);
      return;
    }
    if (isFromAnotherIncarnation(worker, session, sentMs, report)) {
      return;
    }
    boolean firstCall = !session.clockKnown;
    session.silentSinceMs = -1;
    session.clockKnown = true;
    session.clockMs = report.clockMs();
    session.clockAtMs = clock.nowMs();
    supervisor.onReport(worker, report, sentMs, clock.nowMs(), clock.wallMs());
    listener.onReport();
    if (session.polling) {
      return;
    }
    if (session.pollAgain || (firstCall && supervisor.needsReports(worker))) {
      poll(worker, 0);
    } else if (supervisor.needsReports(worker)) {
      poll(worker, LONG_POLL_MS);
    }
  }

  // A worker may have restarted under its identifier since it was listed.
  private boolean isFromAnotherIncarnation(
      String worker, Session session, long sentMs, WorkerInventory report) {
    WorkerIncarnation polled = WorkerIncarnation.parse(worker);
    WorkerIncarnation responding = new WorkerIncarnation(polled.id(), report.startedAtMs());
    if (polled.precedes(responding)) {
      forget(worker);
      long startedAtMs = report.startedAtMs().getAsLong();
      supervisor.onWorkerRestarted(worker, startedAtMs, clock.nowMs());
      return true;
    }
    boolean earlier = report.startedAtMs().isPresent() && responding.precedes(polled);
    if (earlier) {
      onFailure(worker, session, sentMs, earlierIncarnationFailure());
    }
    return earlier;
  }

  private static WorkerFailure earlierIncarnationFailure() {
    return new WorkerFailure(WorkerFailure.Kind.SILENT, "an earlier life of the worker answered");
  }

  // An acknowledgement that the worker has received is not sent again: a later incarnation that is
  // not known yet would discard its own ends with that number.
  private long newAcknowledgement(String worker, Session session) {
    long acknowledged = supervisor.acknowledgedEndNumber(worker);
    return acknowledged > session.deliveredAcknowledgement ? acknowledged : 0;
  }

  private boolean mustPoll(String worker, Session session) {
    boolean undelivered =
        supervisor.acknowledgedEndNumber(worker) > session.deliveredAcknowledgement;
    return undelivered || supervisor.needsReports(worker);
  }

  private void onFailure(String worker, Session session, long sentMs, Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    WorkerFailure.Kind kind =
        cause instanceof WorkerFailure workerFailure
            ? workerFailure.kind()
            : WorkerFailure.Kind.SILENT;
    if (kind == WorkerFailure.Kind.FENCED) {
      listener.onFenced(worker);
      return;
    }
    if (kind == WorkerFailure.Kind.GONE) {
      forget(worker);
      supervisor.onWorkerGone(worker, clock.nowMs(), clock.wallMs());
      return;
    }
    if (session.silentSinceMs < 0) {
      session.silentSinceMs = sentMs;
      supervisor.onCallUnanswered(worker, clock.nowMs());
    }
    if (isSilentFor(session, SUSPECT_AFTER_MS) || !session.clockKnown) {
      supervisor.onWorkerUnreachable(worker, String.valueOf(cause), clock.nowMs());
    }
    session.polling = true;
    timer.after(
        RETRY_MS,
        () -> {
          session.polling = false;
          if (mustPoll(worker, session)) {
            poll(worker, 0);
          }
        });
  }
}
