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
 * Asks workers for their tasks and keeps the leases there: one call at a time for each worker, as
 * long as something runs there or ends are left to be acknowledged. Workers that were not heard yet
 * are met a few at a time, those on which something may run first.
 *
 * <p>Not thread-safe; the decision loop owns it. One instance serves one term.
 */
public final class WorkerWatch {
  private static final int WAIT_MS = 1000;
  private static final int REPEAT_MS = 200;
  // While ends of a worker are being written down its reports do not wait, so it is asked for
  // renewals only: a slow log would otherwise bring a call each millisecond and worker.
  private static final int RENEW_WHILE_WRITING_MS = 500;
  private static final int SUSPECT_AFTER_MS = 1500;
  private static final int STOP_EXTENDING_AFTER_MS = 2000;
  // A new decider meets every worker. A host of a third of a core needs some 10 ms for each first
  // call; with 245 at once every call passed its time limit, and again when repeated. With 24 at
  // once, calls to the workers of a zone that was cut off held up all others.
  private static final int MAX_FIRST_CALLS = 100;

  private final WorkerPort port;
  private final RunSupervisor supervisor;
  private final long term;
  private final int leaseMs;
  private final boolean doubtsLate;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final Map<String, Session> sessions = new HashMap<>();
  private final LateResponses answers = new LateResponses();
  private final Set<String> toMeetInUse = new LinkedHashSet<>();
  private final Set<String> toMeet = new LinkedHashSet<>();
  private int firstCalls;

  /** Is told what ends the term. */
  public interface Listener {
    /** Returns whether orders may be given now. */
    boolean mayAct();

    /** Notes that the report of a worker was taken in. */
    void reported();

    /** Notes that a worker has seen a higher term. */
    void fenced(String worker);
  }

  /** What is known of one worker's clock, and whether a call is under way. */
  private static final class Session {
    private String zone = "";
    private boolean asking;
    private boolean lookAgain;
    private boolean clockKnown;
    private long clockMs;
    private long clockAtMs;
    private long askedAtMs = Long.MIN_VALUE / 2;
    private long silentSinceMs = -1;
    private long toldAcknowledged;
  }

  /**
   * Creates a watch for a term.
   *
   * @param leaseMs longest lease of what runs on a worker, milliseconds
   * @param doubtsLate whether workers that are late with an answer get no new work
   */
  public WorkerWatch(
      WorkerPort port,
      RunSupervisor supervisor,
      long term,
      int leaseMs,
      boolean doubtsLate,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      Listener listener) {
    this.port = port;
    this.supervisor = supervisor;
    this.term = term;
    this.leaseMs = leaseMs;
    this.doubtsLate = doubtsLate;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.listener = listener;
  }

  /** Asks a worker soon, at once if no call is under way. */
  public void look(String worker) {
    if (supervisor.isOver(worker)) {
      return;
    }
    Session session = session(worker);
    if (session.asking) {
      session.lookAgain = true;
    } else {
      ask(worker, 0);
    }
  }

  /** Returns the lease for an order now; empty while the worker's clock is not known. */
  public Optional<WorkerPort.Lease> lease(String worker) {
    Session session = session(worker);
    if (!session.clockKnown) {
      return Optional.empty();
    }
    return Optional.of(new WorkerPort.Lease(term, until(session)));
  }

  /** Takes the clocks of all workers for unknown until they answer again. */
  public void forgetClocks() {
    sessions.values().forEach(session -> session.clockKnown = false);
  }

  /**
   * Asks the workers that have to be asked and are not; those that are late get no new work.
   *
   * @param dueMs when this call was due
   */
  public void tick(long dueMs) {
    if (doubtsLate) {
      doubtLate(dueMs);
    }
    for (String worker : supervisor.workersInUse()) {
      if (!session(worker).asking) {
        ask(worker, WAIT_MS);
      }
    }
    for (String worker : supervisor.silentWorkers()) {
      if (!session(worker).asking) {
        ask(worker, 0);
      }
    }
  }

  // Answers that came after this was due may wait behind it, on a loop that was busy. What came
  // before has been taken in.
  private void doubtLate(long dueMs) {
    long nowMs = clock.nowMs();
    for (String worker : answers.lateWorkers(dueMs)) {
      supervisor.unreachable(worker, "its answer is late", nowMs);
    }
    for (String zone : answers.silentZones(dueMs)) {
      for (String worker : supervisor.usableWorkersIn(zone)) {
        supervisor.unreachable(worker, "no worker of its zone answers", nowMs);
        look(worker);
      }
    }
  }

  private Session session(String worker) {
    return sessions.computeIfAbsent(worker, key -> new Session());
  }

  private long until(Session session) {
    return session.clockMs + (clock.nowMs() - session.clockAtMs) + leaseMs;
  }

  private void ask(String worker, int waitMs) {
    Optional<WorkerInfo> info = supervisor.workerInfo(worker);
    if (info.isEmpty() || !listener.mayAct()) {
      return;
    }
    Session session = session(worker);
    if (!session.clockKnown && firstCalls >= MAX_FIRST_CALLS) {
      (supervisor.needsReports(worker) ? toMeetInUse : toMeet).add(worker);
      return;
    }
    long askedMs = clock.nowMs();
    boolean writing = session.clockKnown && supervisor.awaitsLog(worker);
    if (writing && askedMs - session.askedAtMs < RENEW_WHILE_WRITING_MS) {
      return;
    }
    session.asking = true;
    session.lookAgain = false;
    session.askedAtMs = askedMs;
    session.zone = info.get().zone();
    int holdMs = session.clockKnown ? waitMs : 0;
    if (session.clockKnown) {
      answers.onQuerySent(worker, session.zone, askedMs + holdMs);
    }
    boolean first = !session.clockKnown;
    firstCalls += first ? 1 : 0;
    boolean extend = session.clockKnown && !isSilentFor(session, STOP_EXTENDING_AFTER_MS);
    if (extend) {
      supervisor.leased(worker, askedMs);
    }
    WorkerPort.RenewCall call =
        new WorkerPort.RenewCall(
            term,
            extend ? OptionalLong.of(until(session)) : OptionalLong.empty(),
            leftToTell(worker, session),
            holdMs);
    LoopCallbacks.whenDone(
        port.renew(info.get(), call),
        loop,
        (report, failure) -> {
          firstCalls -= first ? 1 : 0;
          if (failure == null) {
            session.toldAcknowledged = Math.max(session.toldAcknowledged, call.acknowledged());
          }
          answered(worker, session, askedMs, report, failure);
          meetNext();
        });
  }

  private void meetNext() {
    while (firstCalls < MAX_FIRST_CALLS && !(toMeetInUse.isEmpty() && toMeet.isEmpty())) {
      Set<String> from = toMeetInUse.isEmpty() ? toMeet : toMeetInUse;
      String worker = from.iterator().next();
      from.remove(worker);
      if (!session(worker).asking) {
        ask(worker, 0);
      }
    }
  }

  private boolean isSilentFor(Session session, int ms) {
    return session.silentSinceMs >= 0 && clock.nowMs() - session.silentSinceMs >= ms;
  }

  private void answered(
      String worker, Session session, long askedMs, WorkerInventory report, Throwable failure) {
    session.asking = false;
    if (failure == null) {
      answers.onResponse(worker, session.zone, clock.nowMs());
    } else {
      answers.onCallFailed(worker);
    }
    if (supervisor.isOver(worker)) {
      sessions.remove(worker);
      return;
    }
    if (!listener.mayAct()) {
      return;
    }
    if (failure != null) {
      notAnswered(worker, session, askedMs, failure);
      return;
    }
    if (answersForAnother(worker, session, askedMs, report)) {
      return;
    }
    boolean first = !session.clockKnown;
    session.silentSinceMs = -1;
    session.clockKnown = true;
    session.clockMs = report.clockMs();
    session.clockAtMs = clock.nowMs();
    supervisor.onReport(worker, report, askedMs, clock.nowMs(), clock.wallMs());
    listener.reported();
    if (session.asking) {
      return;
    }
    if (session.lookAgain || (first && supervisor.needsReports(worker))) {
      ask(worker, 0);
    } else if (supervisor.needsReports(worker)) {
      ask(worker, WAIT_MS);
    }
  }

  // A worker may have started again under its identifier since it was listed.
  private boolean answersForAnother(
      String worker, Session session, long askedMs, WorkerInventory report) {
    WorkerIncarnation asked = WorkerIncarnation.parse(worker);
    WorkerIncarnation answered = new WorkerIncarnation(asked.id(), report.startedAtMs());
    if (asked.precedes(answered)) {
      sessions.remove(worker);
      long bornMs = report.startedAtMs().getAsLong();
      supervisor.workerRestarted(worker, bornMs, clock.nowMs());
      return true;
    }
    boolean earlier = report.startedAtMs().isPresent() && answered.precedes(asked);
    if (earlier) {
      notAnswered(worker, session, askedMs, anEarlierLifeAnswered());
    }
    return earlier;
  }

  private static WorkerFailure anEarlierLifeAnswered() {
    return new WorkerFailure(WorkerFailure.Kind.SILENT, "an earlier life of the worker answered");
  }

  // A number that the worker was told is not repeated: a later life of it, of which nothing is
  // known
  // yet, would forget ends of its own by it.
  private long leftToTell(String worker, Session session) {
    long acknowledged = supervisor.acknowledged(worker);
    return acknowledged > session.toldAcknowledged ? acknowledged : 0;
  }

  private boolean mustAsk(String worker, Session session) {
    boolean untold = supervisor.acknowledged(worker) > session.toldAcknowledged;
    return untold || supervisor.needsReports(worker);
  }

  private void notAnswered(String worker, Session session, long askedMs, Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    WorkerFailure.Kind kind =
        cause instanceof WorkerFailure known ? known.kind() : WorkerFailure.Kind.SILENT;
    if (kind == WorkerFailure.Kind.FENCED) {
      listener.fenced(worker);
      return;
    }
    if (kind == WorkerFailure.Kind.GONE) {
      sessions.remove(worker);
      supervisor.workerGone(worker, clock.nowMs(), clock.wallMs());
      return;
    }
    if (session.silentSinceMs < 0) {
      session.silentSinceMs = askedMs;
      supervisor.notAnswered(worker, clock.nowMs());
    }
    if (isSilentFor(session, SUSPECT_AFTER_MS) || !session.clockKnown) {
      supervisor.unreachable(worker, String.valueOf(cause), clock.nowMs());
    }
    session.asking = true;
    timer.after(
        REPEAT_MS,
        () -> {
          session.asking = false;
          if (mustAsk(worker, session)) {
            ask(worker, 0);
          }
        });
  }
}
