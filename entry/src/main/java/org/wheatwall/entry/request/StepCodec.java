package org.wheatwall.entry.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.wire.message.KeptAnswer;
import org.wheatwall.wire.message.LedgerEntry;

/** Turns step records into messages and back. */
final class StepCodec {
  private StepCodec() {}

  static LedgerEntry toMessage(StepRecord record) {
    LedgerEntry.Builder entry =
        LedgerEntry.newBuilder()
            .setKey(record.key())
            .setGrantId(record.grant().text())
            .setState(record.state().number())
            .setChangedMs(record.changedMs());
    record.answer().ifPresent(answer -> entry.setAnswer(toMessage(answer)));
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

  static KeptAnswer toMessage(Answer answer) {
    return KeptAnswer.newBuilder()
        .setStatus(answer.status())
        .setContentType(answer.contentType())
        .setBody(ByteString.copyFrom(answer.body()))
        .build();
  }

  static Answer fromMessage(KeptAnswer answer) {
    return new Answer(answer.getStatus(), answer.getContentType(), answer.getBody().toByteArray());
  }
}
