package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.core.batch.model.StepSpec;

/**
 * Asks for permits of the steps whose queue needs them, and keeps the scheduler to the workers that
 * have one. A step is asked for as soon as it may start: first the workers with most room, further
 * ones while it still waits, and the permitted ones again once their texts have lapsed.
 */
final class PermitRounds {
  // The users count one question on so many workers into a step's time.
  private static final int FIRST_WORKERS = 30;
  // Some workers are refused and some are busy, so more are asked for than would be needed.
  private static final int SPARE_FACTOR = 2;
  private static final int ASK_MORE_AFTER_MS = 500;

  private final TermState term;
  private final Map<StepKey, StepPermits> steps = new HashMap<>();
  private Set<String> queues = Set.of();

  PermitRounds(TermState term) {
    this.term = term;
  }

  /** Sets the queues whose steps need permits; what waits is described anew. */
  void setQueues(Set<String> next) {
    if (queues.equals(next)) {
      return;
    }
    queues = Set.copyOf(next);
    steps.clear();
    for (JobRuns progress : term.jobs.values()) {
      for (GroupKey group : progress.submitted()) {
        if (term.scheduler.isWaiting(group.text())) {
          join(progress.job(), group);
          term.scheduler.updateWaiting(group.text(), term.describe(progress, group));
        }
      }
    }
  }

  boolean needs(BatchJob job) {
    return queues.contains(job.queue());
  }

  /** Notes that a group is about to be given to the scheduler. */
  void join(BatchJob job, GroupKey group) {
    if (!needs(job)) {
      return;
    }
    StepKey key = StepKey.of(group);
    StepPermits permits = steps.computeIfAbsent(key, step -> new StepPermits());
    permits.groups().add(group);
    if (permits.askedCount() == 0 && !permits.asking()) {
      ask(job, key, permits);
    }
  }

  /** Returns the only workers on which a group may be planned now; empty if all may be. */
  Optional<Set<String>> permittedWorkers(BatchJob job, GroupKey group) {
    if (!needs(job)) {
      return Optional.empty();
    }
    StepPermits permits = steps.get(StepKey.of(group));
    return Optional.of(permits == null ? Set.of() : permits.plannable(term.nowMs));
  }

  /**
   * Returns the only workers among which a gang may look for a rack; empty if all. While workers
   * are left to be asked for, all count: a gang leaves its rack only if no rack will do.
   */
  Optional<Set<String>> rackWorkers(BatchJob job, GroupKey group) {
    StepPermits permits = steps.get(StepKey.of(group));
    boolean allAsked =
        needs(job)
            && permits != null
            && permits.askedCount() > 0
            && PermitCandidates.of(term, job, job.steps().get(group.step()), permits).isEmpty();
    return allAsked ? Optional.of(Set.copyOf(permits.granted())) : Optional.empty();
  }

  /** Returns whether every start of a run that is launched now can reach its worker in time. */
  boolean cover(GroupRun run) {
    StepPermits permits = steps.get(StepKey.of(run.group()));
    return !needs(run.job())
        || (permits != null
            && run.workers().stream().allMatch(worker -> permits.covers(worker, term.nowMs)));
  }

  /** Returns what a start has to carry; empty if nothing, or nothing is known. */
  Optional<String> text(GroupRun run, String worker) {
    return Optional.ofNullable(steps.get(StepKey.of(run.group())))
        .flatMap(permits -> permits.text(worker));
  }

  /** Notes that a worker did not take the permit that a start carried. */
  void refused(GroupRun run, String worker) {
    StepPermits permits = steps.get(StepKey.of(run.group()));
    if (permits != null) {
      permits.refused(worker);
    }
  }

  /** Takes every permit for lapsed; those still needed are asked for again. */
  void lapseAll() {
    steps.values().forEach(StepPermits::lapseAll);
  }

  /** Takes in the answer to a question; empty if there was none. */
  void onAnswer(PermitQuestion question, Optional<PermitAnswer> answer, long askedMs) {
    StepPermits permits = steps.get(question.step());
    JobRuns progress = term.jobs.get(question.step().jobId());
    if (permits == null || progress == null) {
      return;
    }
    if (answer.isEmpty()) {
      permits.unanswered(term.nowMs);
      return;
    }
    permits.answered(question, answer.get(), askedMs, term.nowMs);
    term.note(
        RunEvent.Kind.PERMITS_KNOWN,
        question.step().jobId(),
        question.step().occurrence() + "." + question.step().step(),
        answer.get().textByWorker().size()
            + " of "
            + question.workers().size()
            + " workers for "
            + answer.get().validMs()
            + " ms");
    describeAgain(progress, permits);
  }

  /** Asks again, or for more, where groups still wait; tells the scheduler of texts that lapsed. */
  void tick() {
    for (Map.Entry<StepKey, StepPermits> entry : List.copyOf(steps.entrySet())) {
      StepPermits permits = entry.getValue();
      permits.groups().removeIf(group -> !term.scheduler.isWaiting(group.text()));
      JobRuns progress = term.jobs.get(entry.getKey().jobId());
      if (progress == null) {
        steps.remove(entry.getKey());
      } else if (!permits.groups().isEmpty()) {
        if (permits.refresh(term.nowMs)) {
          describeAgain(progress, permits);
        }
        if (!permits.asking()) {
          ask(progress.job(), entry.getKey(), permits);
        }
      }
    }
  }

  /** Returns what is known for a group, for operators; empty if it needs no permits. */
  Optional<String> explain(BatchJob job, GroupKey group) {
    if (!needs(job)) {
      return Optional.empty();
    }
    StepPermits permits = steps.get(StepKey.of(group));
    int asked = permits == null ? 0 : permits.askedCount();
    int usable = permits == null ? 0 : permits.plannable(term.nowMs).size();
    return Optional.of("permits for " + usable + " workers now, " + asked + " were asked for");
  }

  private void describeAgain(JobRuns progress, StepPermits permits) {
    permits.refresh(term.nowMs);
    for (GroupKey group : permits.groups()) {
      term.scheduler.updateWaiting(group.text(), term.describe(progress, group));
    }
    term.dirty = true;
  }

  private void ask(BatchJob job, StepKey key, StepPermits permits) {
    List<String> workers = workersToAsk(job, key, permits);
    if (workers.isEmpty()) {
      return;
    }
    permits.asked();
    term.effects.askPermits(new PermitQuestion(key, workers, job.urgent()));
  }

  private List<String> workersToAsk(BatchJob job, StepKey key, StepPermits permits) {
    boolean lapsed = permits.plannable(term.nowMs).isEmpty() && !permits.granted().isEmpty();
    if (lapsed) {
      return limited(permits.granted(), PermitQuestion.MAX_WORKERS);
    }
    boolean early = term.nowMs - permits.answeredAtMs() < ASK_MORE_AFTER_MS;
    if (permits.askedCount() > 0 && early) {
      return List.of();
    }
    StepSpec step = job.steps().get(key.step());
    return limited(PermitCandidates.of(term, job, step, permits), wanted(step));
  }

  private static List<String> limited(List<String> workers, int most) {
    return workers.subList(0, Math.min(most, workers.size()));
  }

  // A worker that holds a single task is the worst case.
  private static int wanted(StepSpec step) {
    long wanted = Math.max(FIRST_WORKERS, (long) SPARE_FACTOR * step.tasksInGroup());
    return (int) Math.min(PermitQuestion.MAX_WORKERS, wanted);
  }
}
