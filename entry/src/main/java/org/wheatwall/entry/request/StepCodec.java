package org.wheatwall.entry.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.wire.message.KeptAnswer;
import org.wheatwall.wire.message.LedgerEntry;

/** Converts step records to protocol messages and back. */
final class StepCodec {
  private StepCodec() {}

  static LedgerEntry toMessage(StepRecord record) {
    LedgerEntry.Builder entry =
        LedgerEntry.newBuilder()
            .setKey(record.key())
            .setGrantId(record.grant().text())
            .setState(record.state().number())
            .setChangedMs(record.changedMs());
    record.response().ifPresent(response -> entry.setAnswer(toMessage(response)));
    return entry.build();
  }

  static StepRecord fromMessage(LedgerEntry entry) {
    return new StepRecord(
        entry.getKey(),
        GrantId.parse(entry.getGrantId()),
        StepState.ofNumber(entry.getState()),
        entry.hasAnswer() ? Optional.of(fromMessage(entry.getAnswer())) : Optional.empty(),
        entry.getChangedMs());
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
