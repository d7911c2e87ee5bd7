package org.wheatwall.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.job.JobPlane;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.request.SlotService;
import org.wheatwall.entry.request.StepAdmissionService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.SnapshotPage;
import org.wheatwall.wire.message.SnapshotPull;

/** Dispatches requests of other entry hosts to the service that handles them. */
final class PeerRequests {
  private final MembershipService membership;
  private final StepAdmissionService stepAdmission;
  private final SlotService slots;
  private final ConfigurationService configuration;
  private final JobPlane jobs;

  PeerRequests(
      MembershipService membership,
      StepAdmissionService stepAdmission,
      SlotService slots,
      ConfigurationService configuration,
      JobPlane jobs) {
    this.membership = membership;
    this.stepAdmission = stepAdmission;
    this.slots = slots;
    this.configuration = configuration;
    this.jobs = jobs;
  }

  /** Handles a request; the future fails with a {@link Refusal} if its kind is unknown. */
  CompletableFuture<Envelope.Builder> handle(Envelope request) {
    return switch (request.getBodyCase()) {
      case HEARTBEAT -> membership.onHeartbeat(request.getHeartbeat());
      case RETIRE -> membership.onRetire(request.getRetire());
      case STEP_ASK -> stepAdmission.onStepRequest(request.getStepAsk());
      case STEP_RECORD -> stepAdmission.onRecordRequest(request.getStepRecord());
      case STEP_FINISH -> stepAdmission.onFinish(request.getStepFinish());
      case LEDGER_PULL -> stepAdmission.onLedgerPull(request.getLedgerPull());
      case SLOT_ASK -> slots.onSlotRequest(request.getSlotAsk());
      case SLOT_RETURN -> slots.onSlotReturn(request.getSlotReturn());
      case SNAPSHOT_PULL -> snapshot(request.getSnapshotPull());
      case JOB_QUERY -> jobs.onQuery(request.getJobQuery());
      default ->
          CompletableFuture.failedFuture(
              new Refusal(
                  RefusalKind.INVALID,
                  "unknown request " + request.getBodyCase(),
                  "run the same version on every entry host"));
    };
  }

  private CompletableFuture<Envelope.Builder> snapshot(SnapshotPull pull) {
    return configuration
        .snapshotNewerThan(pull.getNewerThan())
        .thenApply(
            snapshot -> {
              SnapshotPage.Builder page = SnapshotPage.newBuilder();
              snapshot.ifPresent(
                  newest ->
                      page.setNextOffset(newest.nextOffset())
                          .setContent(
                              ByteString.copyFrom(
                                  Json.bytes(LogRecordCodec.writeSnapshot(newest)))));
              return Envelope.newBuilder().setSnapshotPage(page);
            });
  }
}
