package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** The state of jobs is built correctly from the job log, whatever the order of its records. */
final class JobTableTest {
  private static final String ID = "00000000000000aa";

  private final JobTable table = new JobTable();
  private long offset;

  private void apply(LogEntry entry) {
    table.apply(entry, offset++);
  }

  private static BatchJob job(String specification) {
    StepSpec step =
        new StepSpec(
            1,
            new ResourceAmount(1, 1, 1),
            100,
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    return new BatchJob(ID, "q", "s", "w", specification, List.of(step), Optional.empty(), 1, 2, 0);
  }

  private static LogEntry definition(String specification) {
    return LogEntry.of(LogKey.job(ID), new LogContent.Definition(job(specification)));
  }

  @Test
  void theFirstDefinitionOfAJobCounts() {
    apply(definition("first"));
    apply(definition("second"));
    assertThat(table.job(ID).get().job().get().specification()).isEqualTo("first");
  }

  @Test
  void aCancelledIdentifierStaysCancelledDespiteLaterRecords() {
    apply(definition("first"));
    apply(LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(1)));
    apply(definition("again"));
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.CANCELLED);
  }

  @Test
  void aJobCountsAsPendingUntilARunOfItIsRecorded() {
    apply(definition("first"));
    assertThat(table.pendingJobs("q")).isEqualTo(1);
    GroupKey group = new GroupKey(ID, 0, 0, 0);
    GroupState started = GroupState.NEW.withRunStarted(List.of("worker"));
    apply(LogEntry.of(LogKey.group(group), new LogContent.Group(started)));
    assertThat(table.pendingJobs("q")).isEqualTo(0);
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.RUNNING);
  }

  private void applyGroup(int step, GroupState state) {
    LogKey key = LogKey.group(new GroupKey(ID, 0, step, 0));
    apply(LogEntry.of(key, new LogContent.Group(state)));
  }

  @Test
  void aJobIsNotPendingIfOneGroupBeganAndAnotherWasRefused() {
    apply(definition("first"));
    GroupState refused = GroupState.NEW.withRunStarted(List.of("worker")).withoutBegunRun();
    applyGroup(0, refused);
    assertThat(table.pendingJobs("q")).isEqualTo(1);
    applyGroup(1, GroupState.NEW.withRunStarted(List.of("worker")));
    assertThat(table.pendingJobs("q")).isEqualTo(0);
  }

  @Test
  void aJobIsNotPendingIfAFailureOfARefusedGroupIsReportedLate() {
    apply(definition("first"));
    GroupState refused = GroupState.NEW.withRunStarted(List.of("worker")).withoutBegunRun();
    applyGroup(0, refused.withFailure(1));
    assertThat(table.pendingJobs("q")).isEqualTo(0);
  }

  @Test
  void anEndIsShownWhateverTheStateOfItsGroups() {
    apply(definition("first"));
    apply(LogEntry.of(LogKey.end(ID), new LogContent.End(BatchState.SUCCEEDED, "every task", 5)));
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.SUCCEEDED);
  }

  @Test
  void aDroppedJobLeavesNoRecord() {
    apply(definition("first"));
    apply(LogEntry.of(LogKey.end(ID), new LogContent.End(BatchState.FAILED, "task", 5)));
    apply(LogEntry.tombstone(LogKey.job(ID)));
    apply(LogEntry.tombstone(LogKey.end(ID)));
    assertThat(table.job(ID)).isEmpty();
    assertThat(table.jobs()).isEmpty();
  }

  @Test
  void termNumbersRiseWithTheOffsetsOfTheirClaims() {
    LogContent.Term claim = new LogContent.Term("h", "a", "l", 0, false);
    table.apply(LogEntry.of(LogKey.TERM, claim), 0);
    assertThat(table.termNumber()).isEqualTo(1);
    table.apply(LogEntry.of(LogKey.TERM, new LogContent.Term("h", "a", "l", 1, false)), 40);
    assertThat(table.termNumber()).isEqualTo(1);
    table.apply(LogEntry.of(LogKey.TERM, claim), 41);
    assertThat(table.termNumber()).isEqualTo(42);
  }

  private static LogEntry submittedAt(long readOffset) {
    return LogEntry.of(
        LogKey.job(ID), new LogContent.Definition(job("a"), OptionalLong.of(readOffset)));
  }

  private static LogEntry cancelledUnknown(String workspace) {
    CancelScope scope = new CancelScope(workspace, Optional.empty());
    return LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(1, Optional.of(scope)));
  }

  // Guards against a job that runs after its cancellation was answered with "no such job": its
  // submission was on its way at another host.
  @Test
  void aSubmissionBeforeACancellationIsVoidWhereverItStandsInTheLog() {
    table.apply(cancelledUnknown("w"), 10);
    table.apply(submittedAt(10), 11);
    assertThat(table.job(ID).get().isVoid()).isTrue();
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.CANCELLED);
    JobTable inOtherOrder = new JobTable();
    inOtherOrder.apply(submittedAt(10), 10);
    inOtherOrder.apply(cancelledUnknown("w"), 11);
    assertThat(inOtherOrder.job(ID).get().state()).isEqualTo(BatchState.CANCELLED);
    assertThat(inOtherOrder.job(ID).get().isVoid()).isFalse();
  }

  @Test
  void aSubmissionAfterTheCancellationOfAnUnknownJobCounts() {
    table.apply(cancelledUnknown("w"), 10);
    table.apply(submittedAt(10), 11);
    table.apply(submittedAt(11), 12);
    assertThat(table.job(ID).get().isVoid()).isFalse();
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.QUEUED);
  }

  @Test
  void aCancellationByAnotherWorkspaceDoesNotApply() {
    table.apply(cancelledUnknown("other"), 10);
    table.apply(submittedAt(5), 11);
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.QUEUED);
  }

  // Only the newest record of a key is kept, so the late attempt would hide the accepted one.
  @Test
  void aLateVoidAttemptIsToldToHideTheOneThatCounts() {
    table.apply(cancelledUnknown("w"), 10);
    table.apply(submittedAt(11), 12);
    assertThat(table.hiddenDefinition(submittedAt(8), 13))
        .isEqualTo(table.job(ID).get().definition());
    table.apply(submittedAt(8), 13);
    assertThat(table.job(ID).get().state()).isEqualTo(BatchState.QUEUED);
    assertThat(table.hiddenDefinition(submittedAt(11), 14)).isEmpty();
  }
}
