package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.wheatwall.core.batch.decision.AdmissionRule;
import org.wheatwall.core.batch.decision.BacklogTracker;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.SchedulingFeatures;

/**
 * Rejects new jobs that could not end in time, by the work that waits according to this host's
 * replica of the job log and the capacity that the decider publishes with its term. While the
 * published capacity is older than {@value #MAX_CAPACITY_AGE_MS} ms, every job is accepted.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class AdmissionControl {
  /** Age from which the published capacity counts as unknown; several renewals of a term. */
  static final int MAX_CAPACITY_AGE_MS = 3000;

  private final BatchContext context;
  private final boolean enabled;
  private final BacklogTracker backlog = new BacklogTracker();
  private final AdmissionRule rule;
  private Map<String, Objective> objectives = Map.of();
  private OptionalInt accelerators = OptionalInt.empty();
  private long capacityReadAtMs;
  private boolean unknownLogged;

  AdmissionControl(SchedulingFeatures features, BatchContext context) {
    this.context = context;
    this.enabled = features.admission().enabled();
    this.rule = new AdmissionRule(features.admission(), backlog);
  }

  void setRules(SchedulingRules rules) {
    objectives = rules.objectives();
  }

  /** Records the capacity in a record of the term; a claim says nothing about it. */
  void onTerm(LogContent.Term term) {
    if (term.usableAccelerators().isPresent()) {
      accelerators = term.usableAccelerators();
      capacityReadAtMs = context.clock().nowMs();
    }
  }

  void onJob(BatchJob job) {
    if (enabled) {
      backlog.addJob(job);
    }
  }

  void onJobClosed(String jobId) {
    backlog.removeJob(jobId);
  }

  void onGroupChanged(GroupKey group, Optional<GroupState> before, Optional<GroupState> after) {
    backlog.onGroupChanged(group, before, after);
  }

  void onGroupsRead(JobRecord record) {
    backlog.onGroupsRead(record);
  }

  /** Removes all jobs, before the replica of the job log is rebuilt. */
  void onReset() {
    backlog.clear();
  }

  /**
   * Returns the refusal of a new job; empty if it is accepted.
   *
   * @param hosts number of entry hosts
   */
  Optional<Refusal> check(BatchJob job, int hosts) {
    if (!enabled || !isCapacityKnown()) {
      return Optional.empty();
    }
    return rule.check(job, objective(job), accelerators.getAsInt(), hosts, context.clock().nowMs())
        .map(rejection -> refusal(job, rejection));
  }

  private Objective objective(BatchJob job) {
    return objectives.getOrDefault(job.queue(), Objective.NONE);
  }

  private boolean isCapacityKnown() {
    boolean known = accelerators.isPresent() && capacityAgeMs() < MAX_CAPACITY_AGE_MS;
    if (!known && !unknownLogged) {
      context.decisions().log("admission-capacity-unknown", field("ageMs", capacityAgeMs()));
    }
    if (!known) {
      context.metrics().counter("admission.capacity-unknown").inc();
    }
    unknownLogged = !known;
    return known;
  }

  private long capacityAgeMs() {
    return context.clock().nowMs() - capacityReadAtMs;
  }

  private Refusal refusal(BatchJob job, AdmissionRule.Rejection rejection) {
    context.metrics().counter("admission.rejected").inc();
    context
        .decisions()
        .log(
            "job-rejected",
            field("job", job.id()),
            field("queue", job.queue()),
            field("workspace", job.workspace()),
            field("expectedWaitMs", rejection.expectedWaitMs()),
            field("usefulMs", rejection.usefulMs()),
            field("accelerators", accelerators.getAsInt()),
            field("capacityAgeMs", capacityAgeMs()),
            field("retryAfterSeconds", rejection.retryAfterSeconds()));
    return new Refusal(
            RefusalKind.LIMIT,
            "the job would wait for about "
                + rejection.expectedWaitMs()
                + " ms, too long to be of use",
            "repeat after the time in Retry-After")
        .retryAfter(rejection.retryAfterSeconds());
  }
}
