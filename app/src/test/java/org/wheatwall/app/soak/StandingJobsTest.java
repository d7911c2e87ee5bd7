package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.wire.http.HttpReply;

/** A job that stands beside room is found, and none that has a reason to wait. */
final class StandingJobsTest {
  private static final int WORK_MS = 100;
  private static final int BOUND_MS = 3000;

  private final StandingJobs standing = new StandingJobs(2, 8);
  private final List<JobFacts> jobs = new ArrayList<>();
  private final List<TaskLedger.Event> events = new ArrayList<>();

  private JobFacts accepted(String id, int tasks, int gang, int accelerators) {
    JobFacts job = new JobFacts(id, new TaskPlan(WORK_MS, gang, accelerators, 0), tasks);
    job.attempted(answer("queued"));
    jobs.add(job);
    return job;
  }

  private static CallerAnswer answer(String text) {
    HttpReply reply = HttpReply.text(200, text);
    return new CallerAnswer(0, true, Optional.of(reply), Optional.empty(), 0, 0);
  }

  private void event(long atMs, String worker, String job, int index, String what) {
    events.add(new TaskLedger.Event(atMs, worker, new TaskName(job, 0, 0, index), 1, what));
  }

  private void lookUntil(long untilMs) {
    for (long nowMs = 0; nowMs <= untilMs; nowMs += 100) {
      long atMs = nowMs;
      standing.look(jobs, events.stream().filter(event -> event.atMs() <= atMs).toList(), nowMs);
    }
  }

  @Test
  void aJobThatStandsBesideRoomIsFoundOnce() {
    accepted("a", 2, 2, 4);
    lookUntil(BOUND_MS - 100);
    assertThat(standing.found()).isEmpty();
    lookUntil(BOUND_MS + 500);
    assertThat(standing.found()).hasSize(1);
    assertThat(standing.found().iterator().next()).contains("job a of 2 tasks");
  }

  @Test
  void aJobStandsOnlySinceItsLastTaskEnded() {
    accepted("a", 2, 1, 1);
    event(1000, "w1", "a", 0, "began");
    event(1010, "w1", "a", 0, EndKind.STOPPED.toString());
    lookUntil(BOUND_MS + 1000);
    assertThat(standing.found()).isEmpty();
    lookUntil(BOUND_MS + 1100);
    assertThat(standing.found()).hasSize(1);
  }

  @Test
  void aJobThatRunsOrIsDoneOrCancelledOrHasEndedDoesNotStand() {
    accepted("runs", 2, 1, 1);
    event(0, "w1", "runs", 0, "began");
    accepted("done", 1, 1, 1);
    event(0, "w1", "done", 0, "began");
    event(0, "w1", "done", 0, EndKind.DONE.toString());
    accepted("cancelled", 1, 1, 1).cancelAsked(answer(""));
    accepted("ended", 1, 1, 1).told(answer("succeeded"));
    lookUntil(2 * BOUND_MS);
    assertThat(standing.found()).isEmpty();
  }

  @Test
  void aJobThatWasNotAcceptedDoesNotStand() {
    jobs.add(new JobFacts("a", new TaskPlan(WORK_MS, 1, 1, 0), 1));
    lookUntil(2 * BOUND_MS);
    assertThat(standing.found()).isEmpty();
  }

  @Test
  void aJobMayWaitWhileHalfOfTheRoomIsInUse() {
    accepted("large", 1, 1, 8);
    event(0, "w1", "large", 0, "began");
    accepted("waits", 1, 1, 1);
    lookUntil(2 * BOUND_MS);
    assertThat(standing.found()).isEmpty();
  }

  @Test
  void aGangMayWaitWhileItDoesNotFitTwice() {
    accepted("small", 1, 1, 1);
    event(0, "w1", "small", 0, "began");
    accepted("gang", 2, 2, 4);
    lookUntil(2 * BOUND_MS);
    assertThat(standing.found()).isEmpty();
  }

  @Test
  void singleTasksNeedRoomForOneOfThemTwice() {
    accepted("small", 1, 1, 1);
    event(0, "w1", "small", 0, "began");
    accepted("tasks", 5, 1, 4);
    lookUntil(BOUND_MS);
    assertThat(standing.found()).hasSize(1);
  }
}
