package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * What one term of a decider knows and shares between its parts: jobs, runs by several keys,
 * workers, and the records that are to be written next.
 */
final class TermState {
  private static final int ENDED_REMEMBERED = 10_000;

  final SupervisorSettings settings;
  final RunEffects effects;
  final Scheduler scheduler;
  final WorkerBook workers;
  final Map<String, JobRuns> jobs = new LinkedHashMap<>();
  final Set<JobRuns> recurring = new LinkedHashSet<>();
  final RunIndex runs = new RunIndex();
  final PermitRounds permits = new PermitRounds(this);
  final LongWaits waits = new LongWaits(this);
  final PreferredPlaces places = new PreferredPlaces(this);
  final Map<GroupKey, Set<String>> avoided = new HashMap<>();
  final Set<String> endedJobs = new LinkedHashSet<>();
  final List<LogEntry> outgoing = new ArrayList<>();
  boolean dirty;
  private int describedWith;
  long nowMs;
  long wallMs;

  TermState(
      SupervisorSettings settings,
      RunEffects effects,
      Scheduler scheduler,
      long startMs,
      long earlierOrdersUntilMs) {
    this.settings = settings;
    this.effects = effects;
    this.scheduler = scheduler;
    this.workers = new WorkerBook(scheduler, startMs, earlierOrdersUntilMs);
    this.nowMs = startMs;
  }

  void at(long steadyMs, long dayMs) {
    nowMs = steadyMs;
    wallMs = dayMs;
  }

  /** Writes the records that were collected, if there are any. */
  void flush() {
    if (!outgoing.isEmpty()) {
      flushThen(() -> {});
    }
  }

  /** Writes the records that were collected; runs a task once all records so far are kept. */
  void flushThen(Runnable whenKept) {
    List<LogEntry> entries = List.copyOf(outgoing);
    outgoing.clear();
    effects.keep(entries, whenKept);
  }

  JobRuns progressOf(BatchJob job) {
    long waited = Math.max(0, Math.min(wallMs - job.acceptedAtMs(), settings.retentionMs()));
    JobRuns progress = new JobRuns(job, nowMs - waited);
    jobs.put(job.id(), progress);
    if (job.recurrence().isPresent()) {
      recurring.add(progress);
    }
    return progress;
  }

  Job describe(JobRuns progress, GroupKey group) {
    BatchJob job = progress.job();
    PlacePreferences preferences =
        places.givenUp(group) ? PlacePreferences.NONE : preferences(job, group);
    boolean suspect = progress.state(group).suspect();
    return GroupJobs.of(job, group, preferences, permits.permittedWorkers(job, group), suspect);
  }

  private PlacePreferences preferences(BatchJob job, GroupKey group) {
    StepSpec step = job.steps().get(group.step());
    boolean oneRack =
        step.sameRack()
            && workers.someRackHolds(step, job.service(), permits.rackWorkers(job, group));
    return new PlacePreferences(avoided.getOrDefault(group, Set.of()), step.dataRack(), oneRack);
  }

  /** Describes waiting groups anew whose place is another one by now. */
  void describeWhatChanged() {
    describeGangsAgain();
    places.giveUpWhereIdle();
  }

  /** Describes waiting gangs anew once other workers are known, whose racks may hold others. */
  private void describeGangsAgain() {
    if (describedWith == workers.version()) {
      return;
    }
    describedWith = workers.version();
    for (QueuedJob queued : List.copyOf(scheduler.waiting())) {
      GroupKey group = GroupKey.parse(queued.name()).orElseThrow();
      JobRuns progress = jobs.get(group.jobId());
      if (progress != null && progress.job().steps().get(group.step()).sameRack()) {
        scheduler.updateWaiting(queued.name(), describe(progress, group));
      }
    }
  }

  void submitReady(JobRuns progress) {
    for (GroupKey group : progress.release(wallMs, 0)) {
      submit(progress, group);
    }
  }

  void submit(JobRuns progress, GroupKey group) {
    progress.noteSubmitted(group);
    permits.join(progress.job(), group);
    waits.began(group);
    places.began(group);
    scheduler.submit(group.text(), describe(progress, group), progress.submittedAtMs());
    dirty = true;
  }

  void heard(String worker) {
    if (workers.heard(worker, nowMs)) {
      dirty = true;
      note(RunEvent.Kind.WORKER_HEARD, "", worker, "it answers");
    }
  }

  Optional<GroupRun> runOf(TaskName task, int number) {
    JobRuns progress = jobs.get(task.jobId());
    if (progress == null || task.step() >= progress.job().steps().size()) {
      return Optional.empty();
    }
    StepSpec step = progress.job().steps().get(task.step());
    return runs.of(GroupKey.of(task, step))
        .filter(run -> run.launched() && run.state().run() == number)
        .filter(run -> task.index() < step.tasks());
  }

  // Until its end is read back from the log, a job that ended must not be taken for a new one.
  void rememberEnded(String jobId) {
    endedJobs.add(jobId);
    if (endedJobs.size() > ENDED_REMEMBERED) {
      endedJobs.remove(endedJobs.iterator().next());
    }
  }

  void forgetIfOver(JobRuns progress) {
    String id = progress.job().id();
    if (progress.closed() && !runs.hasJob(id)) {
      jobs.remove(id);
      recurring.remove(progress);
      avoided.keySet().removeAll(progress.submitted());
      progress.submitted().forEach(places::forget);
    }
  }

  void forgetIfIdle(String worker) {
    boolean idle = !runs.isUsed(worker);
    if (idle && workers.find(worker).filter(record -> !record.listed()).isPresent()) {
      workers.remove(worker);
    }
  }

  /** Tells operators what was decided. */
  void note(RunEvent.Kind kind, String jobId, String subject, String reason) {
    effects.decided(new RunEvent(kind, jobId, subject, reason));
  }

  /** Delays further starts at a worker that refused one. */
  void delayStarts(String worker, OrderAnswer answer) {
    int delayMs = workers.startRefused(worker, nowMs);
    if (delayMs > 0) {
      String reason = answer + ", no further start for " + delayMs + " ms";
      note(RunEvent.Kind.WORKER_REFUSES, "", worker, reason);
    }
  }

  /** Notes that a call to a worker was not answered. */
  void notAnswered(String worker) {
    workers.find(worker).ifPresent(record -> record.notAnswered(nowMs));
  }

  /** Notes that a worker does not answer. */
  void unreachable(String worker, String reason) {
    notAnswered(worker);
    if (!workers.lives().isOver(worker) && workers.suspect(worker)) {
      note(RunEvent.Kind.WORKER_UNREACHABLE, "", worker, reason);
    }
  }
}
