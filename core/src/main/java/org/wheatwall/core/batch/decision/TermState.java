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
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.Job;

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
  final Map<GroupKey, GroupRun> runs = new LinkedHashMap<>();
  final Map<String, GroupRun> runsByAttempt = new HashMap<>();
  final Map<String, Set<GroupRun>> runsByWorker = new HashMap<>();
  final Map<GroupKey, Set<String>> avoided = new HashMap<>();
  final Set<String> endedJobs = new LinkedHashSet<>();
  final List<LogEntry> outgoing = new ArrayList<>();
  boolean dirty;
  long nowMs;
  long wallMs;

  TermState(SupervisorSettings settings, RunEffects effects, Scheduler scheduler, long startMs) {
    this.settings = settings;
    this.effects = effects;
    this.scheduler = scheduler;
    this.workers = new WorkerBook(scheduler, startMs);
    this.nowMs = startMs;
  }

  void at(long steadyMs, long dayMs) {
    nowMs = steadyMs;
    wallMs = dayMs;
  }

  void flush(Runnable whenKept) {
    List<LogEntry> entries = List.copyOf(outgoing);
    outgoing.clear();
    effects.keep(entries, whenKept);
  }

  JobRuns progressOf(BatchJob job) {
    long waited = Math.max(0, Math.min(wallMs - job.acceptedAtMs(), settings.retentionMs()));
    JobRuns progress = new JobRuns(job, nowMs - waited);
    jobs.put(job.id(), progress);
    return progress;
  }

  Job describe(JobRuns progress, GroupKey group) {
    StepSpec step = progress.job().steps().get(group.step());
    Set<String> avoid = avoided.getOrDefault(group, Set.of());
    return GroupJobs.of(progress.job(), step, group, avoid, workers.largestRack());
  }

  void submitReady(JobRuns progress) {
    for (GroupKey group : progress.release(wallMs, 0)) {
      submit(progress, group);
    }
  }

  void submit(JobRuns progress, GroupKey group) {
    scheduler.submit(group.text(), describe(progress, group), progress.submittedAtMs());
    dirty = true;
  }

  void heard(String worker) {
    if (workers.heard(worker, nowMs)) {
      dirty = true;
      note(RunEvent.Kind.WORKER_HEARD, "", worker, "it answers");
    }
  }

  void addRun(GroupRun run) {
    runs.put(run.group(), run);
    runsByAttempt.put(run.attemptId(), run);
    for (String worker : run.workers()) {
      runsByWorker.computeIfAbsent(worker, key -> new LinkedHashSet<>()).add(run);
    }
  }

  Optional<GroupRun> runOf(TaskName task, int number) {
    JobRuns progress = jobs.get(task.jobId());
    if (progress == null || task.step() >= progress.job().steps().size()) {
      return Optional.empty();
    }
    StepSpec step = progress.job().steps().get(task.step());
    return Optional.ofNullable(runs.get(GroupKey.of(task, step)))
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
    boolean busy = runs.keySet().stream().anyMatch(group -> group.jobId().equals(id));
    if (progress.closed() && !busy) {
      jobs.remove(id);
      avoided.keySet().removeIf(group -> group.jobId().equals(id));
    }
  }

  void forgetIfIdle(String worker) {
    boolean idle = !runsByWorker.containsKey(worker);
    if (idle && workers.find(worker).filter(record -> !record.listed()).isPresent()) {
      workers.remove(worker);
    }
  }

  /** Tells operators what was decided. */
  void note(RunEvent.Kind kind, String jobId, String subject, String reason) {
    effects.decided(new RunEvent(kind, jobId, subject, reason));
  }

  /** Notes that a worker does not answer. */
  void unreachable(String worker, String reason) {
    if (workers.suspect(worker)) {
      note(RunEvent.Kind.WORKER_UNREACHABLE, "", worker, reason);
    }
  }
}
