package org.wheatwall.wire.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.Recurrence;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerClock;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** Records of the job log are decoded as they were encoded. */
final class JobLogCodecTest {
  private static final String ID = "00000000000000aa";

  @ParameterizedTest
  @EnumSource(HostSharing.class)
  void aJobIsReadAsItWasWritten(HostSharing sharing) {
    StepSpec step =
        new StepSpec(
            3,
            new ResourceAmount(1500, 64, 2),
            900,
            List.of(),
            true,
            true,
            true,
            Optional.of("label"),
            Optional.of("rack"),
            2,
            true,
            sharing);
    BatchJob job =
        new BatchJob(
            ID,
            "queue",
            "service",
            "workspace",
            "text",
            List.of(step),
            Optional.of(new Recurrence(10, 5, 2)),
            1,
            3,
            7);
    LogEntry entry = LogEntry.of(LogKey.job(ID), new LogContent.Definition(job));
    assertThat(JobLogCodec.decode(entry.key().text(), JobLogCodec.encodeValue(entry)))
        .hasValue(entry);
  }

  private static GroupState readBack(GroupState state) {
    GroupKey group = new GroupKey(ID, 0, 0, 0);
    LogEntry entry = LogEntry.of(LogKey.group(group), new LogContent.Group(state));
    LogEntry read =
        JobLogCodec.decode(entry.key().text(), JobLogCodec.encodeValue(entry)).orElseThrow();
    return ((LogContent.Group) read.content().orElseThrow()).state();
  }

  @Test
  void theIncarnationOfAWorkerIsReadAsItWasWritten() {
    GroupState state =
        GroupState.NEW.withRunStarted(List.of(WorkerIncarnation.startedAt("a", 7).name()));
    assertThat(readBack(state)).isEqualTo(state);
  }

  @Test
  void aRecordWithoutStartTimeNamesAWorkerOfUnknownIncarnation() {
    String written =
        readBack(GroupState.NEW.withRunStarted(List.of("a"))).members().get(0).worker();
    assertThat(WorkerIncarnation.parse(written).startedAtMs()).isEmpty();
  }

  @Test
  void aGroupWhoseStartsWereRefusedIsStillKnownNotToHaveBegun() {
    GroupState refused = GroupState.NEW.withRunStarted(List.of("a")).withoutBegunRun();
    assertThat(refused.mayHaveBegun()).isFalse();
    assertThat(readBack(refused)).isEqualTo(refused);
  }

  @Test
  void lossesOfATaskAreReadAsTheyWereWritten() {
    GroupState state =
        GroupState.NEW
            .withRunStarted(List.of("a", "b"))
            .withLoss(1, 1, LossKind.CRASH_AT_START)
            .withRunStarted(List.of("c", "d"))
            .withLoss(2, 1, LossKind.POSSIBLE_CRASH)
            .withLoss(2, 0, LossKind.UNANSWERED_START);
    GroupKey group = new GroupKey(ID, 0, 0, GroupKey.WHOLE_STEP);
    LogEntry entry = LogEntry.of(LogKey.group(group), new LogContent.Group(state));
    assertThat(JobLogCodec.decode(entry.key().text(), JobLogCodec.encodeValue(entry)))
        .hasValue(entry);
  }

  // A release without a chosen successor is also what hosts write that know of none.
  @Test
  void theChosenSuccessorOfATermIsReadAsItWasWritten() {
    for (Optional<String> successor : List.of(Optional.<String>empty(), Optional.of("host-2"))) {
      LogContent.Term term = new LogContent.Term("host-1", "10.0.0.1", "life", 7, true, successor);
      LogEntry entry = LogEntry.of(LogKey.TERM, term);
      assertThat(JobLogCodec.decode(entry.key().text(), JobLogCodec.encodeValue(entry)))
          .hasValue(entry);
    }
  }

  @Test
  void theCapacityInARenewalOfATermIsReadAsItWasWritten() {
    for (OptionalInt accelerators :
        List.of(OptionalInt.empty(), OptionalInt.of(0), OptionalInt.of(20_000))) {
      LogContent.Term term =
          new LogContent.Term(
              "host-1",
              "10.0.0.1",
              "life",
              7,
              false,
              Optional.empty(),
              accelerators,
              OptionalLong.of(0));
      assertReadAsWritten(LogEntry.of(LogKey.TERM, term));
    }
  }

  // A record without the offset is of a host that may extend leases although a stop stands.
  @Test
  void theOffsetFromWhichLeaseStopsCountIsReadAsItWasWritten() {
    for (OptionalLong from :
        List.of(OptionalLong.empty(), OptionalLong.of(0), OptionalLong.of(9))) {
      LogContent.Term term =
          new LogContent.Term(
              "host-1", "10.0.0.1", "life", 7, false, Optional.empty(), OptionalInt.empty(), from);
      assertReadAsWritten(LogEntry.of(LogKey.TERM, term));
    }
  }

  @Test
  void aLeaseStopIsReadAsItWasWritten() {
    List<WorkerClock> clocks = List.of(new WorkerClock("a..1", 0), new WorkerClock("b..2", 70_000));
    for (List<WorkerClock> written : List.of(List.<WorkerClock>of(), clocks)) {
      assertReadAsWritten(
          LogEntry.of(
              LogKey.leaseStop("worker..1700000000000"), new LogContent.LeaseStop(1, written)));
    }
  }

  @Test
  void whoseJobsACancellationAppliesToIsReadAsItWasWritten() {
    for (Optional<CancelScope> scope :
        List.of(
            Optional.<CancelScope>empty(),
            Optional.of(new CancelScope("w", Optional.empty())),
            Optional.of(new CancelScope("w", Optional.of("q"))))) {
      assertReadAsWritten(LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(5, scope)));
    }
  }

  @Test
  void doneGroupsAreReadAsTheyWereWritten() {
    BitSet groups = new BitSet();
    groups.set(0);
    groups.set(4999);
    LogContent.DoneGroups done =
        new LogContent.DoneGroups(3, new TreeMap<>(Map.of(5, groups, 9_999, new BitSet())));
    assertReadAsWritten(LogEntry.of(LogKey.doneGroups(ID), done));
  }

  private static void assertReadAsWritten(LogEntry entry) {
    Optional<LogEntry> read =
        JobLogCodec.decode(entry.key().text(), JobLogCodec.encodeValue(entry));
    assertThat(read).isEqualTo(Optional.of(entry));
  }
}
