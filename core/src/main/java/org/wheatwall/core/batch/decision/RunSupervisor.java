package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Decides for one term which groups of tasks start where, and follows every run to its end.
 *
 * <p>Rules kept here: a run is written down before any order for it goes out; the next run of a
 * group starts only once no task of the run before it runs or can start any more; an end is written
 * down before its worker is told to forget it; what is done stays done.
 *
 * <p>Pure: time is passed in, and all that it wants done goes through {@link RunEffects}. Not
 * thread-safe; the decision loop owns it. One instance serves one term.
 */
public final class RunSupervisor {
  private static final int ROOM_REPEAT_MS = 100;
  private static final int DECIDE_AT_LEAST_EVERY_MS = 250;
  private static final int STRAY_GRACE_MS = 1500;
  private static final int RETENTION_SWEEP_MS = 5000;
  private static final int FORGOTTEN_AT_ONCE = 50;
  private static final int ENDED_REMEMBERED = 10_000;

  private final SupervisorSettings settings;
  private final RunEffects effects;
  private final Scheduler scheduler;
  private final WorkerBook workers;
  private final Map<String, JobRuns> jobs = new LinkedHashMap<>();
  private final Map<GroupKey, GroupRun> runs = new LinkedHashMap<>();
  private final Map<String, GroupRun> runsByAttempt = new HashMap<>();
  private final Map<String, Set<GroupRun>> runsByWorker = new HashMap<>();
  private final Map<GroupKey, Set<String>> avoided = new HashMap<>();
  private final Set<String> endedJobs = new LinkedHashSet<>();
  private final Map<String, Long> strays = new HashMap<>();
  private final Map<String, Long> handledEnds = new HashMap<>();
  private final List<LogEntry> outgoing = new ArrayList<>();
  private boolean dirty;
  private long decidedAtMs;
  private long sweptAtMs;
  private long nowMs;
  private long wallMs;

  /**
   * Creates a supervisor for a term that starts now.
   *
   * @param term number of the term, part of the identifiers of attempts
   */
  public RunSupervisor(
      SupervisorSettings settings,
      SchedulerSettings scheduling,
      RunEffects effects,
      long term,
      long startMs) {
    this.settings = settings;
    this.effects = effects;
    this.scheduler = new Scheduler(scheduling);
    this.scheduler.setAttemptPrefix("t" + term);
    this.workers = new WorkerBook(scheduler, startMs);
    this.nowMs = startMs;
    this.sweptAtMs = startMs;
  }

  /** Returns the scheduler, to set policies and to read figures. */
  public Scheduler scheduler() {
    return scheduler;
  }

  /** Takes over what the log says. Call once, before anything else. */
  public void adopt(JobTable table, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    for (JobRecord record : table.jobs()) {
      record.job().ifPresent(job -> adopt(job, record));
    }
    flush(() -> {});
  }

  /** Takes in a job that was accepted. */
  public void accept(BatchJob job, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    if (!jobs.containsKey(job.id()) && !endedJobs.contains(job.id())) {
      JobRuns progress = progressOf(job);
      submitReady(progress);
    }
  }

  /** Ends a job because its submitter asked for it. */
  public void cancel(String jobId, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    JobRuns progress = jobs.get(jobId);
    if (progress != null && !progress.closed()) {
      endJob(progress, BatchState.CANCELLED, "the submitter cancelled it");
      flush(() -> {});
    }
  }

  /** Takes in an entry of the platform's list of workers. */
  public void listWorker(WorkerInfo info, long steadyMs) {
    nowMs = steadyMs;
    if (workers.list(info)) {
      effects.decided(
          new RunEvent(RunEvent.Kind.WORKER_LISTED, "", info.id(), "rack " + info.rack()));
      effects.look(info.id());
    }
    dirty = true;
  }

  /** Notes that the platform lists a worker no longer. */
  public void unlistWorker(String id, long steadyMs) {
    nowMs = steadyMs;
    if (workers.unlist(id)) {
      effects.decided(new RunEvent(RunEvent.Kind.WORKER_UNLISTED, "", id, "its entry is gone"));
      forgetIfIdle(id);
    }
  }

  /** Notes that an order was sent that extends the leases of a worker. */
  public void leased(String worker, long steadyMs) {
    workers.record(worker).leased(steadyMs);
  }

  /** Notes that a worker does not answer. */
  public void unreachable(String worker, String reason, long steadyMs) {
    nowMs = steadyMs;
    if (workers.suspect(worker)) {
      effects.decided(new RunEvent(RunEvent.Kind.WORKER_UNREACHABLE, "", worker, reason));
    }
  }

  /** Notes that a life of a worker is over: nothing runs there and nothing can start. */
  public void workerGone(String worker, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    endMembersOn(worker, "its worker is gone");
    workers.remove(worker);
    effects.decided(
        new RunEvent(RunEvent.Kind.WORKER_GONE, "", worker, "another process answers there"));
    flush(() -> {});
  }

  /** Returns whether a worker has to be asked again: it may run something, or reports ends. */
  public boolean needsReports(String worker) {
    return runsByWorker.containsKey(worker)
        || handledEnds.getOrDefault(worker, 0L) > acknowledged(worker);
  }

  /** Returns the listed workers that were not heard, or do not answer any more. */
  public List<String> silentWorkers() {
    return workers.all().stream().filter(WorkerRecord::silent).map(WorkerRecord::id).toList();
  }

  /** Returns where a worker takes orders. */
  public Optional<WorkerInfo> workerInfo(String worker) {
    return workers.find(worker).flatMap(WorkerRecord::info);
  }

  /** Returns the workers on which something runs or may run. */
  public Set<String> workersInUse() {
    return new HashSet<>(runsByWorker.keySet());
  }

  /** Returns the highest number of an end of {@code worker} that is written down. */
  public long acknowledged(String worker) {
    return workers.find(worker).map(WorkerRecord::acknowledged).orElse(0L);
  }

  /** Returns the runs under way, by group. */
  public Set<GroupKey> running() {
    return Set.copyOf(runs.keySet());
  }

  /** Returns, for each group of a job that waits or runs, what it waits for or where it runs. */
  public List<String> explain(String jobId) {
    List<String> lines = new ArrayList<>();
    String prefix = jobId + ".";
    for (QueuedJob queued : scheduler.waiting()) {
      if (queued.name().startsWith(prefix)) {
        lines.add(queued.name() + " waits: " + scheduler.reason(queued.name()).orElseThrow());
      }
    }
    for (GroupRun run : runs.values()) {
      if (run.group().jobId().equals(jobId)) {
        lines.add(run.group().text() + " runs: " + run);
      }
    }
    return lines;
  }

  /** Takes in the answer to a start. */
  public void onStartAnswer(StartOrder order, OrderAnswer answer, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    Optional<GroupRun> found = runOf(order.task(), order.run());
    if (answer == OrderAnswer.WORKER_GONE) {
      workerGone(order.worker(), steadyMs, dayMs);
    } else if (found.isPresent()) {
      GroupRun run = found.get();
      MemberRun member = run.member(order.task());
      if (member.worker().equals(order.worker()) && !member.ended()) {
        startAnswered(run, member, answer);
      }
    }
    flush(() -> {});
  }

  /** Takes in the answer to a stop. */
  public void onStopAnswer(StopOrder order, OrderAnswer answer, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    if (answer == OrderAnswer.WORKER_GONE) {
      workerGone(order.worker(), steadyMs, dayMs);
      return;
    }
    boolean stopped = answer == OrderAnswer.DONE || answer == OrderAnswer.OLD_RUN;
    if (!stopped) {
      return;
    }
    runOf(order.task(), order.run())
        .map(run -> run.member(order.task()))
        .filter(member -> member.worker().equals(order.worker()))
        .ifPresent(member -> member.stopAcknowledged(nowMs));
    effects.look(order.worker());
  }

  /**
   * Takes in the report of a worker.
   *
   * @param askedMs when the report was asked for
   */
  public void onReport(
      String worker, WorkerInventory report, long askedMs, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    heard(worker);
    Set<GroupRun> touched = new LinkedHashSet<>();
    long handled = handledEnds.getOrDefault(worker, 0L);
    long last = handled;
    for (WorkerInventory.EndedTask end : report.ended()) {
      if (end.number() > handled) {
        onEnd(worker, end, touched);
        last = Math.max(last, end.number());
      }
    }
    Set<String> present = onRunning(worker, report);
    endMissing(worker, report, present, askedMs, touched);
    writeTouched(touched);
    if (last > handled) {
      handledEnds.put(worker, last);
    }
    acknowledgeAfterKeeping(worker, last);
    forgetIfIdle(worker);
    if (dirty) {
      decide();
    }
  }

  /** Does what time brings: due times, repeats, lapsed leases, and a look at the queue. */
  public void tick(long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    for (JobRuns progress : List.copyOf(jobs.values())) {
      if (progress.job().recurrence().isPresent()) {
        submitReady(progress);
      }
    }
    endLapsed();
    repeatOrders();
    if (dirty || nowMs - decidedAtMs >= DECIDE_AT_LEAST_EVERY_MS) {
      decide();
    }
    flush(() -> {});
  }

  /** Drops the records of jobs that ended long ago. */
  public void forgetEnded(JobTable table, long steadyMs, long dayMs) {
    at(steadyMs, dayMs);
    if (nowMs - sweptAtMs < RETENTION_SWEEP_MS) {
      return;
    }
    sweptAtMs = nowMs;
    int forgotten = 0;
    for (JobRecord record : table.jobs()) {
      boolean old =
          record.end().filter(end -> wallMs - end.endedAtMs() > settings.retentionMs()).isPresent();
      if (old && record.groups().isEmpty() && forgotten < FORGOTTEN_AT_ONCE) {
        forgotten++;
        outgoing.add(LogEntry.drop(LogKey.job(record.id())));
        outgoing.add(LogEntry.drop(LogKey.cancel(record.id())));
        outgoing.add(LogEntry.drop(LogKey.end(record.id())));
      }
    }
    flush(() -> {});
  }

  private void heard(String worker) {
    if (workers.heard(worker, nowMs)) {
      dirty = true;
      effects.decided(new RunEvent(RunEvent.Kind.WORKER_HEARD, "", worker, "it answers"));
    }
  }

  private void at(long steadyMs, long dayMs) {
    nowMs = steadyMs;
    wallMs = dayMs;
  }

  private JobRuns progressOf(BatchJob job) {
    long waited = Math.max(0, Math.min(wallMs - job.acceptedAtMs(), settings.retentionMs()));
    JobRuns progress = new JobRuns(job, nowMs - waited);
    jobs.put(job.id(), progress);
    return progress;
  }

  private void adopt(BatchJob job, JobRecord record) {
    JobRuns progress = progressOf(job);
    record.groups().forEach(progress::set);
    if (record.end().isPresent()) {
      progress.close();
    }
    record
        .groups()
        .forEach(
            (group, state) -> {
              if (state.phase() == GroupPhase.ACTIVE) {
                inherit(progress, group, state);
              }
            });
    if (record.end().isPresent()) {
      closeGroups(progress);
    } else if (record.cancelled()) {
      endJob(progress, BatchState.CANCELLED, "the submitter cancelled it");
    } else if (progress.allDone()) {
      endJob(progress, BatchState.SUCCEEDED, "every task is done");
    } else {
      failIfExhausted(progress);
      submitReady(progress);
    }
  }

  private void failIfExhausted(JobRuns progress) {
    for (GroupState state : List.copyOf(progress.states().values())) {
      if (state.phase() == GroupPhase.FAILED && !progress.closed()) {
        endJob(progress, BatchState.FAILED, "a task failed as often as is allowed");
      }
    }
  }

  private void inherit(JobRuns progress, GroupKey group, GroupState state) {
    String attemptId = "inherited." + group.text() + "." + state.run();
    GroupRun run = GroupRun.inherited(group, progress.job(), attemptId, state);
    addRun(run);
    scheduler.adopt(
        attemptId,
        group.text(),
        describe(progress, group),
        progress.submittedAtMs(),
        new Placement(run.workers()),
        nowMs);
    effects.decided(
        new RunEvent(RunEvent.Kind.RUN_ADOPTED, group.jobId(), group.text(), "run " + state.run()));
    if (run.allEnded()) {
      settle(run);
    }
  }

  private Job describe(JobRuns progress, GroupKey group) {
    StepSpec step = progress.job().steps().get(group.step());
    Set<String> avoid = avoided.getOrDefault(group, Set.of());
    return GroupJobs.of(progress.job(), step, group, avoid, workers.largestRack());
  }

  private void submitReady(JobRuns progress) {
    for (GroupKey group : progress.release(wallMs, 0)) {
      submit(progress, group);
    }
  }

  private void submit(JobRuns progress, GroupKey group) {
    scheduler.submit(group.text(), describe(progress, group), progress.submittedAtMs());
    dirty = true;
  }

  private void decide() {
    dirty = false;
    decidedAtMs = nowMs;
    for (Decision decision : scheduler.decide(nowMs)) {
      if (decision instanceof Decision.Stop stop) {
        GroupRun victim = runsByAttempt.get(stop.attemptId());
        if (victim != null) {
          stopRun(victim, stop.reason());
        }
      } else if (decision instanceof Decision.Start start) {
        plan(start);
      }
    }
  }

  private void plan(Decision.Start start) {
    GroupKey group = GroupKey.parse(start.jobName()).orElseThrow();
    JobRuns progress = jobs.get(group.jobId());
    List<String> victims = start.victims().stream().filter(runsByAttempt::containsKey).toList();
    GroupRun run =
        GroupRun.planned(
            group,
            progress.job(),
            start.attemptId(),
            progress.state(group),
            start.placement().hosts(),
            victims);
    addRun(run);
    if (!run.waitsForVictims()) {
      launch(run);
    }
  }

  private void launch(GroupRun run) {
    boolean usable =
        run.workers().stream()
            .allMatch(id -> workers.find(id).filter(WorkerRecord::usable).isPresent());
    if (!usable) {
      stopRun(run, "a worker was lost before the start");
      return;
    }
    GroupState state = run.state().started(run.workers());
    run.setState(state);
    run.launch();
    jobs.get(run.group().jobId()).set(run.group(), state);
    outgoing.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(state)));
    flush(() -> order(run));
  }

  private void order(GroupRun run) {
    if (run.stopping() || runs.get(run.group()) != run) {
      return;
    }
    effects.decided(
        new RunEvent(
            RunEvent.Kind.GROUP_STARTED,
            run.group().jobId(),
            run.group().text(),
            "run " + run.state().run() + " on " + String.join(",", run.workers())));
    for (MemberRun member : run.members()) {
      sendStart(run, member);
    }
  }

  private void sendStart(GroupRun run, MemberRun member) {
    member.ordered();
    effects.start(
        new StartOrder(
            member.worker(),
            run.task(member),
            run.state().run(),
            run.job().specification(),
            run.state().checkpoint()));
  }

  private void startAnswered(GroupRun run, MemberRun member, OrderAnswer answer) {
    switch (answer) {
      case DONE -> {
        member.confirm(nowMs);
        heard(member.worker());
      }
      case NO_ROOM -> {
        if (run.stopping() || member.tries() >= settings.roomTries()) {
          refused(run, member, "no room at " + member.worker());
        } else {
          member.repeatAt(nowMs + ROOM_REPEAT_MS);
        }
      }
      case OLD_RUN -> {
        member.stopAcknowledged(nowMs);
        effects.look(member.worker());
      }
      case TOO_LATE, NOT_DONE -> refused(run, member, answer + " at " + member.worker());
      case UNKNOWN -> unanswered(run, member);
      case FENCED, WORKER_GONE -> {
        // The caller ends the term, or the worker; there is nothing to do for a single member.
      }
    }
  }

  private void refused(GroupRun run, MemberRun member, String reason) {
    if (!member.mayStartLate()) {
      member.end();
      run.setState(run.state().memberEnded(member.position()));
    }
    stopRun(run, reason);
  }

  private void unanswered(GroupRun run, MemberRun member) {
    member.lostAnswer();
    if (!run.stopping() && member.tries() < settings.startTries()) {
      sendStart(run, member);
      return;
    }
    unreachable(member.worker(), "a start was not answered", nowMs);
    stopRun(run, "no answer from " + member.worker());
  }

  private void stopRun(GroupRun run, String reason) {
    if (!run.stopping()) {
      run.markStopping();
      effects.decided(
          new RunEvent(
              RunEvent.Kind.RUN_STOPPING, run.group().jobId(), run.group().text(), reason));
    }
    for (MemberRun member : run.members()) {
      if (member.phase() == MemberRun.Phase.PLANNED) {
        member.end();
      } else if (!member.ended() && member.wantStop()) {
        sendStop(run, member);
      }
    }
    if (run.allEnded()) {
      settle(run);
    }
  }

  private void sendStop(GroupRun run, MemberRun member) {
    member.stopSent(nowMs);
    effects.stop(new StopOrder(member.worker(), run.task(member), run.state().run()));
  }

  private void onEnd(String worker, WorkerInventory.EndedTask end, Set<GroupRun> touched) {
    JobRuns progress = jobs.get(end.task().jobId());
    if (progress == null || end.task().step() >= progress.job().steps().size()) {
      return;
    }
    StepSpec step = progress.job().steps().get(end.task().step());
    GroupKey group = GroupKey.of(end.task(), step);
    GroupRun run = runs.get(group);
    if (end.kind() == EndKind.DONE && !step.longRunning()) {
      complete(progress, group, end.run());
      return;
    }
    if (end.kind() == EndKind.FAILED) {
      noteFailure(progress, group, worker, end.run());
      failIfWaitingInVain(progress, group);
    }
    if (run != null && run.launched() && run.state().run() == end.run()) {
      MemberRun member = run.member(end.task());
      if (member.worker().equals(worker) && !member.ended()) {
        member.end();
        run.setState(
            progress.state(group).memberEnded(member.position()).savedAt(end.checkpoint()));
        progress.set(group, run.state());
        touched.add(run);
      }
    }
  }

  private void noteFailure(JobRuns progress, GroupKey group, String worker, int failedRun) {
    scheduler.hostFailedTask(worker, group.jobId(), nowMs);
    avoided.computeIfAbsent(group, key -> new HashSet<>()).add(worker);
    GroupState state = progress.state(group).failedIn(failedRun);
    progress.set(group, state);
    GroupRun run = runs.get(group);
    if (run != null) {
      run.setState(state);
    }
    if (!progress.closed()) {
      outgoing.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    }
  }

  // A failure that is heard of late may be the last one allowed while no run is under way.
  private void failIfWaitingInVain(JobRuns progress, GroupKey group) {
    GroupState state = progress.state(group);
    boolean exhausted = state.failures() >= progress.job().maxAttempts();
    boolean lasts = progress.job().steps().get(group.step()).longRunning();
    if (exhausted && !lasts && !progress.closed() && !runs.containsKey(group)) {
      scheduler.withdraw(group.text());
      finishFailed(progress, group, state);
    }
  }

  private void complete(JobRuns progress, GroupKey group, int doneRun) {
    if (progress.closed() || progress.state(group).phase() == GroupPhase.DONE) {
      GroupRun leftOver = runs.get(group);
      if (leftOver != null && leftOver.state().run() == doneRun) {
        leftOver.members().forEach(MemberRun::end);
        settle(leftOver);
      }
      return;
    }
    GroupState state = progress.state(group).settled(GroupPhase.DONE);
    progress.set(group, state);
    outgoing.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    effects.decided(
        new RunEvent(RunEvent.Kind.GROUP_DONE, group.jobId(), group.text(), "run " + doneRun));
    GroupRun run = runs.get(group);
    if (run == null) {
      scheduler.withdraw(group.text());
    } else if (run.state().run() == doneRun && run.launched()) {
      removeRun(run, EndReason.SUCCEEDED);
    } else {
      stopRun(run, "an earlier run was done");
    }
    submitReady(progress);
    if (progress.allDone()) {
      endJob(progress, BatchState.SUCCEEDED, "every task is done");
    }
  }

  // What a worker runs is confirmed, or stopped if nothing is known of it for some time.
  private Set<String> onRunning(String worker, WorkerInventory report) {
    Set<String> present = new HashSet<>();
    for (WorkerInventory.RunningTask task : report.running()) {
      present.add(keyOf(task.task(), task.run()));
      Optional<GroupRun> run = runOf(task.task(), task.run());
      MemberRun member = run.map(found -> found.member(task.task())).orElse(null);
      if (member != null && member.worker().equals(worker) && !member.ended()) {
        member.confirm(nowMs);
        member.progress(task.percent(), nowMs);
      } else {
        stray(worker, task);
      }
    }
    return present;
  }

  private void stray(String worker, WorkerInventory.RunningTask task) {
    String key = worker + "/" + keyOf(task.task(), task.run());
    Long since = strays.putIfAbsent(key, nowMs);
    if (since == null || nowMs - since < STRAY_GRACE_MS) {
      effects.look(worker);
      return;
    }
    strays.put(key, nowMs);
    effects.decided(
        new RunEvent(
            RunEvent.Kind.STRAY_RUN,
            task.task().jobId(),
            worker,
            "run " + task.run() + " unknown"));
    effects.stop(new StopOrder(worker, task.task(), task.run()));
  }

  private void endMissing(
      String worker,
      WorkerInventory report,
      Set<String> present,
      long askedMs,
      Set<GroupRun> touched) {
    report.ended().forEach(end -> present.add(keyOf(end.task(), end.run())));
    for (GroupRun run : List.copyOf(runsByWorker.getOrDefault(worker, Set.of()))) {
      for (MemberRun member : run.members()) {
        boolean here = member.worker().equals(worker) && !member.ended();
        boolean missing = !present.contains(keyOf(run.task(member), run.state().run()));
        if (here && missing && member.isOverIfMissingAt(askedMs)) {
          endMember(run, member);
          touched.add(run);
        }
      }
    }
  }

  private void endMember(GroupRun run, MemberRun member) {
    member.end();
    run.setState(run.state().memberEnded(member.position()));
    JobRuns progress = jobs.get(run.group().jobId());
    if (progress != null) {
      progress.set(run.group(), run.state());
    }
  }

  private void writeTouched(Set<GroupRun> touched) {
    for (GroupRun run : touched) {
      if (runs.get(run.group()) != run) {
        continue;
      }
      stopRun(run, "a task of it has ended");
      if (runs.get(run.group()) == run) {
        outgoing.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(run.state())));
      }
    }
  }

  private void acknowledgeAfterKeeping(String worker, long number) {
    flush(
        () -> {
          if (number > acknowledged(worker)) {
            workers.record(worker).acknowledge(number);
            effects.look(worker);
          }
        });
  }

  private void endMembersOn(String worker, String reason) {
    for (GroupRun run : List.copyOf(runsByWorker.getOrDefault(worker, Set.of()))) {
      for (MemberRun member : run.members()) {
        if (member.worker().equals(worker) && !member.ended()) {
          endMember(run, member);
        }
      }
      stopRun(run, reason);
    }
  }

  private void endLapsed() {
    for (String worker : List.copyOf(runsByWorker.keySet())) {
      if (workers.record(worker).lapsed(nowMs, settings.lapseMs())) {
        endMembersOn(worker, "every lease at its worker has run out");
      }
    }
  }

  private void repeatOrders() {
    for (GroupRun run : List.copyOf(runs.values())) {
      for (MemberRun member : run.members()) {
        if (!member.ended() && member.stopDue(nowMs, settings.stopRepeatMs())) {
          sendStop(run, member);
        } else if (member.startDue(nowMs) && !run.stopping()) {
          sendStart(run, member);
        }
      }
    }
  }

  private void settle(GroupRun run) {
    JobRuns progress = jobs.get(run.group().jobId());
    GroupState state = run.launched() ? progress.state(run.group()) : run.state();
    removeRun(run, EndReason.INTERRUPTED);
    if (progress.closed()) {
      progress.states().remove(run.group());
      outgoing.add(LogEntry.drop(LogKey.group(run.group())));
      forgetIfOver(progress);
      return;
    }
    if (state.phase() == GroupPhase.DONE) {
      return;
    }
    int attempts = progress.job().maxAttempts();
    if (state.failures() >= attempts && !run.step().longRunning()) {
      finishFailed(progress, run.group(), state);
      return;
    }
    if (run.launched()) {
      GroupState waiting = state.settled(GroupPhase.WAITING);
      progress.set(run.group(), waiting);
      outgoing.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(waiting)));
      effects.decided(
          new RunEvent(
              RunEvent.Kind.GROUP_INTERRUPTED,
              run.group().jobId(),
              run.group().text(),
              "run " + state.run() + ", " + state.failures() + " failed"));
    }
    submit(progress, run.group());
  }

  private void finishFailed(JobRuns progress, GroupKey group, GroupState state) {
    GroupState failed = state.settled(GroupPhase.FAILED);
    progress.set(group, failed);
    effects.decided(
        new RunEvent(
            RunEvent.Kind.GROUP_FAILED,
            group.jobId(),
            group.text(),
            state.failures() + " of " + progress.job().maxAttempts() + " runs failed"));
    endJob(progress, BatchState.FAILED, "group " + group.text() + " failed as often as is allowed");
  }

  private void endJob(JobRuns progress, BatchState state, String reason) {
    progress.close();
    rememberEnded(progress.job().id());
    outgoing.add(
        LogEntry.of(LogKey.end(progress.job().id()), new LogContent.End(state, reason, wallMs)));
    effects.decided(
        new RunEvent(RunEvent.Kind.JOB_ENDED, progress.job().id(), state.toString(), reason));
    closeGroups(progress);
  }

  // Until its end is read back from the log, a job that ended must not be taken for a new one.
  private void rememberEnded(String jobId) {
    endedJobs.add(jobId);
    if (endedJobs.size() > ENDED_REMEMBERED) {
      endedJobs.remove(endedJobs.iterator().next());
    }
  }

  // Runs under way are stopped and dropped as they end; all other groups are dropped now.
  private void closeGroups(JobRuns progress) {
    for (GroupKey group : List.copyOf(progress.states().keySet())) {
      GroupRun run = runs.get(group);
      if (run == null) {
        scheduler.withdraw(group.text());
        progress.states().remove(group);
        outgoing.add(LogEntry.drop(LogKey.group(group)));
      }
    }
    withdrawAll(progress.job());
    for (GroupRun run : List.copyOf(runs.values())) {
      if (run.group().jobId().equals(progress.job().id())) {
        stopRun(run, "its job has ended");
      }
    }
    forgetIfOver(progress);
  }

  private void withdrawAll(BatchJob job) {
    String prefix = job.id() + ".";
    List<String> names =
        scheduler.waiting().stream()
            .map(QueuedJob::name)
            .filter(name -> name.startsWith(prefix))
            .toList();
    names.forEach(scheduler::withdraw);
  }

  private void forgetIfOver(JobRuns progress) {
    String id = progress.job().id();
    boolean busy = runs.keySet().stream().anyMatch(group -> group.jobId().equals(id));
    if (progress.closed() && !busy) {
      jobs.remove(id);
      avoided.keySet().removeIf(group -> group.jobId().equals(id));
    }
  }

  private void forgetIfIdle(String worker) {
    boolean idle = !runsByWorker.containsKey(worker);
    if (idle && workers.find(worker).filter(record -> !record.listed()).isPresent()) {
      workers.remove(worker);
    }
  }

  private void addRun(GroupRun run) {
    runs.put(run.group(), run);
    runsByAttempt.put(run.attemptId(), run);
    for (String worker : run.workers()) {
      runsByWorker.computeIfAbsent(worker, key -> new LinkedHashSet<>()).add(run);
    }
  }

  private void removeRun(GroupRun run, EndReason reason) {
    runs.remove(run.group());
    runsByAttempt.remove(run.attemptId());
    for (String worker : new HashSet<>(run.workers())) {
      Set<GroupRun> there = runsByWorker.getOrDefault(worker, new HashSet<>());
      there.remove(run);
      if (there.isEmpty()) {
        runsByWorker.remove(worker);
      }
    }
    scheduler.attemptEnded(run.attemptId(), reason, nowMs);
    dirty = true;
    for (GroupRun other : List.copyOf(runs.values())) {
      if (other.victimEnded(run.attemptId()) && !other.stopping()) {
        launch(other);
      }
    }
  }

  private Optional<GroupRun> runOf(TaskName task, int number) {
    JobRuns progress = jobs.get(task.jobId());
    if (progress == null || task.step() >= progress.job().steps().size()) {
      return Optional.empty();
    }
    StepSpec step = progress.job().steps().get(task.step());
    return Optional.ofNullable(runs.get(GroupKey.of(task, step)))
        .filter(run -> run.launched() && run.state().run() == number)
        .filter(run -> task.index() < step.tasks());
  }

  private static String keyOf(TaskName task, int run) {
    return task.jobId()
        + "."
        + task.occurrence()
        + "."
        + task.step()
        + "."
        + task.index()
        + "#"
        + run;
  }

  private void flush(Runnable whenKept) {
    List<LogEntry> entries = List.copyOf(outgoing);
    outgoing.clear();
    effects.keep(entries, whenKept);
  }
}
