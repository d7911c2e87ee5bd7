package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Selector;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.Backfill;
import org.wheatwall.core.job.policy.BestFit;
import org.wheatwall.core.job.policy.SchedulingPolicy;
import org.wheatwall.core.job.policy.SubmissionOrder;

/** How often a pass asks a policy for a place for equal tasks. */
final class EqualTasksTest {
  private static final PolicySpec SPEC =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.BEST_FIT, "", 0, 0, 0, false);

  private int proposals;

  private Scheduler schedulerOfHalfUsedHost(int reservedPercent) {
    Scheduler scheduler =
        new Scheduler(
            new SchedulerSettings(
                600_000, 500, 64, HostHealthSettings.SHORT_JOBS, reservedPercent, Mechanisms.ALL));
    scheduler.cluster().add(new WorkerHost("a", "zone", "r", new ResourceAmount(8000, 1000, 8)));
    BestFit rule = new BestFit();
    SchedulingPolicy counted =
        new SchedulingPolicy(
            new SubmissionOrder(),
            (job, view) -> {
              proposals++;
              return rule.place(job, view);
            },
            Backfill.GREEDY);
    PolicyTable.Entry entry = new PolicyTable.Entry("counted", SPEC, Selector.parse(""), counted);
    scheduler.setPolicyTable(new PolicyTable(List.of(entry)));
    Placement held = new Placement(Collections.nCopies(5, "a"));
    scheduler.adopt("held", "held", job(5, false), 0, held, 0);
    // It fits nowhere, and makes further urgent work expected.
    scheduler.submit("urgent", job(20, true), 1000);
    for (int i = 0; i < 3; i++) {
      scheduler.submit("task-" + i, job(1, false), 1000);
    }
    return scheduler;
  }

  private static Job job(int tasks, boolean urgent) {
    return new Job(
        Labels.NONE,
        "workspace",
        "zone",
        Optional.empty(),
        tasks,
        new ResourceAmount(1, 10, 1),
        Adjacency.ANY,
        10,
        true,
        urgent,
        JobPhase.SUBMITTED);
  }

  @Test
  void tasksThatWaitForTheReserveShareAProposal() {
    Scheduler scheduler = schedulerOfHalfUsedHost(100);
    assertThat(scheduler.decide(1000)).isEmpty();
    assertThat(proposals).isEqualTo(1);
    for (int i = 0; i < 3; i++) {
      assertThat(scheduler.reasonKind("task-" + i)).hasValue(WaitReason.Kind.KEPT_FOR_URGENT_WORK);
    }
  }

  @Test
  void aTaskAfterAStartGetsAProposalOfItsOwn() {
    Scheduler scheduler = schedulerOfHalfUsedHost(0);
    assertThat(scheduler.decide(1000)).hasSize(3);
    assertThat(proposals).isEqualTo(3);
  }
}
