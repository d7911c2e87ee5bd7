package org.wheatwall.wire.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.BitSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.GroupMember;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.Recurrence;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskLosses;
import org.wheatwall.core.batch.model.WorkerClock;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.wire.message.BatchJobRecord;
import org.wheatwall.wire.message.BatchStepRecord;
import org.wheatwall.wire.message.CancelRecord;
import org.wheatwall.wire.message.CancelScopeRecord;
import org.wheatwall.wire.message.DoneGroupsRecord;
import org.wheatwall.wire.message.DoneOccurrenceRecord;
import org.wheatwall.wire.message.GroupMemberRecord;
import org.wheatwall.wire.message.GroupRecord;
import org.wheatwall.wire.message.GroupRunPhase;
import org.wheatwall.wire.message.HostRecord;
import org.wheatwall.wire.message.JobEndRecord;
import org.wheatwall.wire.message.JobEndState;
import org.wheatwall.wire.message.LeaseStopRecord;
import org.wheatwall.wire.message.SharingKind;
import org.wheatwall.wire.message.TaskLossesRecord;
import org.wheatwall.wire.message.TermRecord;
import org.wheatwall.wire.message.WorkerClockRecord;

/** Encodes and decodes the records of the job log. */
public final class JobLogCodec {
  private static final byte[] NO_VALUE = new byte[0];

  private JobLogCodec() {}

  /** Returns the value that is stored under the entry's key; empty if the entry is a tombstone. */
  public static byte[] encodeValue(LogEntry entry) {
    return entry.content().map(JobLogCodec::bytes).orElse(NO_VALUE);
  }

  /** Decodes a record; empty if its key is not one of the job log. Malformed values are refused. */
  public static Optional<LogEntry> decode(String key, byte[] value) {
    return LogKey.parse(key).map(parsed -> decode(parsed, value));
  }

  private static LogEntry decode(LogKey key, byte[] value) {
    if (value.length == 0) {
      return LogEntry.tombstone(key);
    }
    try {
      return LogEntry.of(key, content(key, value));
    } catch (InvalidProtocolBufferException e) {
      throw Refusal.invalid(
          "record " + key.text() + " of the job log is malformed: " + e.getMessage(),
          "check which program else writes to the topic of the job log");
    }
  }

  private static byte[] bytes(LogContent content) {
    if (content instanceof LogContent.Definition definition) {
      return definition(definition).toByteArray();
    }
    if (content instanceof LogContent.Cancellation cancellation) {
      return cancellation(cancellation).toByteArray();
    }
    if (content instanceof LogContent.End end) {
      return JobEndRecord.newBuilder()
          .setState(state(end.state()))
          .setReason(end.reason())
          .setEndedAtMs(end.endedAtMs())
          .build()
          .toByteArray();
    }
    if (content instanceof LogContent.Group group) {
      return group(group.state()).toByteArray();
    }
    if (content instanceof LogContent.DoneGroups done) {
      return doneGroups(done).toByteArray();
    }
    if (content instanceof LogContent.Host host) {
      return HostRecord.newBuilder()
          .setAddress(host.address())
          .setZone(host.zone())
          .build()
          .toByteArray();
    }
    if (content instanceof LogContent.LeaseStop stop) {
      return leaseStop(stop).toByteArray();
    }
    return term((LogContent.Term) content).toByteArray();
  }

  private static LogContent content(LogKey key, byte[] value)
      throws InvalidProtocolBufferException {
    return switch (key.kind()) {
      case JOB -> definition(key.name(), BatchJobRecord.parseFrom(value));
      case CANCEL -> cancellation(CancelRecord.parseFrom(value));
      case END -> end(JobEndRecord.parseFrom(value));
      case GROUP -> new LogContent.Group(group(GroupRecord.parseFrom(value)));
      case TERM -> term(TermRecord.parseFrom(value));
      case DONE_GROUPS -> doneGroups(DoneGroupsRecord.parseFrom(value));
      case HOST -> host(HostRecord.parseFrom(value));
      case LEASE_STOP -> leaseStop(LeaseStopRecord.parseFrom(value));
    };
  }

  private static DoneGroupsRecord doneGroups(LogContent.DoneGroups done) {
    DoneGroupsRecord.Builder record =
        DoneGroupsRecord.newBuilder().setWholeOccurrences(done.wholeOccurrences());
    done.occurrences()
        .forEach(
            (occurrence, groups) ->
                record.addOccurrences(
                    DoneOccurrenceRecord.newBuilder()
                        .setOccurrence(occurrence)
                        .setGroups(ByteString.copyFrom(groups.toByteArray()))));
    return record.build();
  }

  private static LogContent.DoneGroups doneGroups(DoneGroupsRecord record) {
    SortedMap<Integer, BitSet> occurrences = new TreeMap<>();
    for (DoneOccurrenceRecord occurrence : record.getOccurrencesList()) {
      occurrences.put(
          occurrence.getOccurrence(), BitSet.valueOf(occurrence.getGroups().toByteArray()));
    }
    return new LogContent.DoneGroups(record.getWholeOccurrences(), occurrences);
  }

  private static LogContent.Host host(HostRecord record) {
    return new LogContent.Host(record.getAddress(), record.getZone());
  }

  private static LeaseStopRecord leaseStop(LogContent.LeaseStop stop) {
    LeaseStopRecord.Builder record = LeaseStopRecord.newBuilder().setAgeMs(stop.ageMs());
    for (WorkerClock clock : stop.clocks()) {
      record.addClocks(
          WorkerClockRecord.newBuilder().setWorker(clock.worker()).setClockMs(clock.clockMs()));
    }
    return record.build();
  }

  private static LogContent.LeaseStop leaseStop(LeaseStopRecord record) {
    return new LogContent.LeaseStop(
        Math.max(1, record.getAgeMs()),
        record.getClocksList().stream()
            .map(clock -> new WorkerClock(clock.getWorker(), clock.getClockMs()))
            .toList());
  }

  private static CancelRecord cancellation(LogContent.Cancellation cancellation) {
    CancelRecord.Builder record =
        CancelRecord.newBuilder().setRequestedAtMs(cancellation.requestedAtMs());
    cancellation
        .scope()
        .ifPresent(
            scope ->
                record.setScope(
                    CancelScopeRecord.newBuilder()
                        .setWorkspace(scope.workspace())
                        .setOpenQueue(scope.openQueue().orElse(""))));
    return record.build();
  }

  private static LogContent.Cancellation cancellation(CancelRecord record) {
    CancelScopeRecord scope = record.getScope();
    return new LogContent.Cancellation(
        record.getRequestedAtMs(),
        record.hasScope()
            ? Optional.of(new CancelScope(scope.getWorkspace(), text(scope.getOpenQueue())))
            : Optional.empty());
  }

  private static BatchJobRecord definition(LogContent.Definition definition) {
    BatchJobRecord.Builder record = job(definition.job());
    definition.readOffset().ifPresent(record::setReadOffset);
    return record.build();
  }

  private static LogContent.Definition definition(String id, BatchJobRecord record) {
    return new LogContent.Definition(
        job(id, record),
        record.hasReadOffset() ? OptionalLong.of(record.getReadOffset()) : OptionalLong.empty());
  }

  private static BatchJobRecord.Builder job(BatchJob job) {
    BatchJobRecord.Builder record =
        BatchJobRecord.newBuilder()
            .setQueue(job.queue())
            .setService(job.service())
            .setWorkspace(job.workspace())
            .setSpecification(job.specification())
            .setPriority(job.priority())
            .setMaxAttempts(job.maxAttempts())
            .setAcceptedAtMs(job.acceptedAtMs());
    job.steps().forEach(step -> record.addSteps(step(step)));
    job.recurrence()
        .ifPresent(
            recurrence ->
                record
                    .setTimes(recurrence.times())
                    .setFirstDueMs(recurrence.firstDueMs())
                    .setIntervalMs(recurrence.intervalMs()));
    return record;
  }

  private static BatchJob job(String id, BatchJobRecord record) {
    Optional<Recurrence> recurrence =
        record.getTimes() == 0
            ? Optional.empty()
            : Optional.of(
                new Recurrence(record.getFirstDueMs(), record.getIntervalMs(), record.getTimes()));
    return new BatchJob(
        id,
        record.getQueue(),
        record.getService(),
        record.getWorkspace(),
        record.getSpecification(),
        record.getStepsList().stream().map(JobLogCodec::step).toList(),
        recurrence,
        record.getPriority(),
        record.getMaxAttempts(),
        record.getAcceptedAtMs());
  }

  private static BatchStepRecord step(StepSpec step) {
    return BatchStepRecord.newBuilder()
        .setTasks(step.tasks())
        .setProcessors(step.taskAmount().processors())
        .setMemoryMb(step.taskAmount().memoryMb())
        .setAccelerators(step.taskAmount().accelerators())
        .setEstimateMs(step.estimateMs())
        .addAllAfter(step.after())
        .setCheckpointing(step.checkpointing())
        .setGang(step.gang())
        .setSameRack(step.sameRack())
        .setHostLabel(step.hostLabel().orElse(""))
        .setDataRack(step.dataRack().orElse(""))
        .setSpreadLimit(step.spreadLimit())
        .setLongRunning(step.longRunning())
        .setSharing(sharing(step.sharing()))
        .build();
  }

  private static SharingKind sharing(HostSharing sharing) {
    return switch (sharing) {
      case ORDINARY -> SharingKind.SHARING_ORDINARY;
      case SERVING -> SharingKind.SHARING_SERVING;
      case FILLING -> SharingKind.SHARING_FILLING;
    };
  }

  private static HostSharing sharing(BatchStepRecord record) {
    return switch (record.getSharing()) {
      case SHARING_ORDINARY -> HostSharing.ORDINARY;
      case SHARING_SERVING -> HostSharing.SERVING;
      case SHARING_FILLING -> HostSharing.FILLING;
      case UNRECOGNIZED -> throw unknown("way of sharing a worker");
    };
  }

  private static StepSpec step(BatchStepRecord record) {
    return new StepSpec(
        record.getTasks(),
        new ResourceAmount(record.getProcessors(), record.getMemoryMb(), record.getAccelerators()),
        record.getEstimateMs(),
        record.getAfterList(),
        record.getCheckpointing(),
        record.getGang(),
        record.getSameRack(),
        text(record.getHostLabel()),
        text(record.getDataRack()),
        record.getSpreadLimit(),
        record.getLongRunning(),
        sharing(record));
  }

  private static Optional<String> text(String value) {
    return value.isEmpty() ? Optional.empty() : Optional.of(value);
  }

  private static LogContent.End end(JobEndRecord record) {
    return new LogContent.End(state(record), record.getReason(), record.getEndedAtMs());
  }

  private static JobEndState state(BatchState state) {
    return switch (state) {
      case SUCCEEDED -> JobEndState.JOB_END_SUCCEEDED;
      case FAILED -> JobEndState.JOB_END_FAILED;
      case CANCELLED -> JobEndState.JOB_END_CANCELLED;
      case QUEUED, RUNNING -> throw new IllegalStateException(state + " is no end of a job");
    };
  }

  private static BatchState state(JobEndRecord record) {
    return switch (record.getState()) {
      case JOB_END_SUCCEEDED -> BatchState.SUCCEEDED;
      case JOB_END_FAILED -> BatchState.FAILED;
      case JOB_END_CANCELLED -> BatchState.CANCELLED;
      case JOB_END_UNSPECIFIED, UNRECOGNIZED -> throw unknown("end of a job");
    };
  }

  private static GroupRunPhase phase(GroupPhase phase) {
    return switch (phase) {
      case WAITING -> GroupRunPhase.GROUP_RUN_WAITING;
      case ACTIVE -> GroupRunPhase.GROUP_RUN_ACTIVE;
      case DONE -> GroupRunPhase.GROUP_RUN_DONE;
      case FAILED -> GroupRunPhase.GROUP_RUN_FAILED;
    };
  }

  private static GroupPhase phase(GroupRecord record) {
    return switch (record.getPhase()) {
      case GROUP_RUN_WAITING -> GroupPhase.WAITING;
      case GROUP_RUN_ACTIVE -> GroupPhase.ACTIVE;
      case GROUP_RUN_DONE -> GroupPhase.DONE;
      case GROUP_RUN_FAILED -> GroupPhase.FAILED;
      case UNRECOGNIZED -> throw unknown("state of a group of tasks");
    };
  }

  private static Refusal unknown(String what) {
    return Refusal.invalid("the job log holds an unknown " + what, "run a version that knows it");
  }

  private static GroupRecord group(GroupState state) {
    GroupRecord.Builder record =
        GroupRecord.newBuilder()
            .setPhase(phase(state.phase()))
            .setRun(state.run())
            .setFailures(state.failures())
            .setLastFailedRun(state.lastFailedRun())
            .setCheckpoint(state.checkpoint());
    for (GroupMember member : state.members()) {
      record.addMembers(member(member));
    }
    state.losses().forEach(losses -> record.addLosses(losses(losses)));
    return record.build();
  }

  private static GroupState group(GroupRecord record) {
    return new GroupState(
        phase(record),
        record.getRun(),
        record.getFailures(),
        record.getLastFailedRun(),
        record.getMembersList().stream().map(JobLogCodec::member).toList(),
        record.getCheckpoint(),
        record.getLossesList().stream().map(JobLogCodec::losses).toList());
  }

  private static GroupMemberRecord.Builder member(GroupMember member) {
    WorkerIncarnation worker = WorkerIncarnation.parse(member.worker());
    GroupMemberRecord.Builder record =
        GroupMemberRecord.newBuilder().setWorker(worker.id()).setEnded(member.ended());
    worker.startedAtMs().ifPresent(record::setBornMs);
    return record;
  }

  private static GroupMember member(GroupMemberRecord record) {
    OptionalLong startedAtMs =
        record.hasBornMs() ? OptionalLong.of(record.getBornMs()) : OptionalLong.empty();
    WorkerIncarnation worker = new WorkerIncarnation(record.getWorker(), startedAtMs);
    return new GroupMember(worker.name(), record.getEnded());
  }

  private static TaskLossesRecord losses(TaskLosses losses) {
    return TaskLossesRecord.newBuilder()
        .setPosition(losses.position())
        .setLost(losses.lost())
        .setCrashesAtStart(losses.crashesAtStart())
        .setUnansweredStarts(losses.unansweredStarts())
        .setLastRun(losses.lastRun())
        .build();
  }

  private static TaskLosses losses(TaskLossesRecord record) {
    return new TaskLosses(
        record.getPosition(),
        record.getLost(),
        record.getCrashesAtStart(),
        record.getUnansweredStarts(),
        record.getLastRun());
  }

  private static TermRecord term(LogContent.Term term) {
    TermRecord.Builder record =
        TermRecord.newBuilder()
            .setHolder(term.holder())
            .setAddress(term.address())
            .setLife(term.incarnation())
            .setTerm(term.term())
            .setReleased(term.released())
            .setSuccessor(term.successor().orElse(""));
    term.leaseStopsFrom().ifPresent(record::setLeaseStopsFrom);
    term.usableAccelerators().ifPresent(record::setUsableAccelerators);
    return record.build();
  }

  private static LogContent.Term term(TermRecord record) {
    return new LogContent.Term(
        record.getHolder(),
        record.getAddress(),
        record.getLife(),
        record.getTerm(),
        record.getReleased(),
        text(record.getSuccessor()),
        record.hasUsableAccelerators()
            ? OptionalInt.of(record.getUsableAccelerators())
            : OptionalInt.empty(),
        record.hasLeaseStopsFrom()
            ? OptionalLong.of(record.getLeaseStopsFrom())
            : OptionalLong.empty());
  }
}
