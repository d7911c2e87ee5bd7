package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Which work is stopped to free capacity for guaranteed urgent work. */
final class UrgentVictimsTest {
  private static final ResourceAmount HOST = new ResourceAmount(32, 1000, 8);
  private static final ResourceAmount TASK = new ResourceAmount(1, 10, 1);
  private static final int TASKS = 8;
  private static final long LONG_AGO_MS = 1000;
  private static final long JUST_NOW_MS = 9900;
  private static final long NOW_MS = 10_000;

  private final Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);

  @BeforeEach
  void addHosts() {
    for (String name : List.of("a", "b")) {
      scheduler.cluster().add(new WorkerHost(name, "zone", "rack", HOST));
    }
    scheduler.hostsChanged();
    scheduler.setUrgentGuarantees(Map.of("guaranteed", TASKS));
  }

  private static Job job(String workspace, boolean urgent) {
    return new Job(
        Labels.NONE,
        workspace,
        "zone",
        Optional.empty(),
        TASKS,
        TASK,
        Adjacency.ANY,
        10,
        true,
        urgent,
        JobPhase.SUBMITTED);
  }

  private void adopt(String attemptId, String host, boolean urgent, long startedMs) {
    Placement place = new Placement(Collections.nCopies(TASKS, host));
    scheduler.adopt(attemptId, "job-" + attemptId, job("other", urgent), 0, place, startedMs);
  }

  private List<String> stoppedFor(Job job) {
    scheduler.submit("new", job, NOW_MS);
    return scheduler.decide(NOW_MS).stream()
        .filter(Decision.Stop.class::isInstance)
        .map(decision -> ((Decision.Stop) decision).attemptId())
        .toList();
  }

  // Guards against choosing by lost work alone: the urgent job, which has just started, was stopped
  // and missed its objective.
  @Test
  void otherWorkIsStoppedBeforeUrgentWork() {
    adopt("urgent", "a", true, JUST_NOW_MS);
    adopt("other", "b", false, LONG_AGO_MS);
    assertThat(stoppedFor(job("guaranteed", true))).containsExactly("other");
  }

  @Test
  void urgentWorkBeyondItsGuaranteeIsStoppedIfNothingElseRuns() {
    adopt("first", "a", true, LONG_AGO_MS);
    adopt("second", "b", true, JUST_NOW_MS);
    assertThat(stoppedFor(job("guaranteed", true))).containsExactly("second");
  }

  // On a host that is slower by 10% or more, a run of 10 s holds its accelerators at least a second
  // longer.
  @Test
  void aSlowerHostIsChosenOnlyIfItsWorkIsCheapEnoughToStop() {
    scheduler.cluster().setSpeed("a", HostSpeed.SLOWER);
    adopt("slower", "a", false, JUST_NOW_MS);
    adopt("usual", "b", false, JUST_NOW_MS - 500);
    assertThat(stoppedFor(job("guaranteed", true))).containsExactly("usual");
  }

  @Test
  void muchWorkIsNotLostForAFasterHost() {
    scheduler.cluster().setSpeed("a", HostSpeed.SLOWER);
    adopt("slower", "a", false, JUST_NOW_MS);
    adopt("usual", "b", false, LONG_AGO_MS);
    assertThat(stoppedFor(job("guaranteed", true))).containsExactly("slower");
  }
}
