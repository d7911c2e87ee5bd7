package org.wheatwall.entry.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.message.KeptAnswer;
import org.wheatwall.wire.message.LedgerEntry;

/** Converts step records to protocol messages and back. */
final class StepCodec {
  private StepCodec() {}

  static LedgerEntry toMessage(StepRecord record, Clock clock) {
    long wallAheadMs = clock.wallMs() - clock.nowMs();
    LedgerEntry.Builder entry =
        LedgerEntry.newBuilder()
            .setKey(record.key())
            .setGrantId(record.grant().text())
            .setState(record.state().number())
            .setChangedMs(record.changedMs() + wallAheadMs);
    record.response().ifPresent(response -> entry.setAnswer(toMessage(response)));
    return entry.build();
  }

  // The record counts as changed now: the sender's wall clock may differ, and a record is rather
  // kept too long than too short.
  static StepRecord fromMessage(LedgerEntry entry, Clock clock) {
    return new StepRecord(
        entry.getKey(),
        GrantId.parse(entry.getGrantId()),
        StepState.ofNumber(entry.getState()),
        entry.hasAnswer() ? Optional.of(fromMessage(entry.getAnswer())) : Optional.empty(),
        clock.nowMs());
  }

  static KeptAnswer toMessage(RunnerResponse response) {
    return KeptAnswer.newBuilder()
        .setStatus(response.status())
        .setContentType(response.contentType())
        .setBody(ByteString.copyFrom(response.body()))
        .build();
  }

  static RunnerResponse fromMessage(KeptAnswer message) {
    return new RunnerResponse(
        message.getStatus(), message.getContentType(), message.getBody().toByteArray());
  }
}
