package org.wheatwall.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.entry.job.JobPlane;
import org.wheatwall.entry.request.ZoneViews;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.JobQuery;
import org.wheatwall.wire.peer.PeerClient;

/** Requests explanations of jobs from the entry host that decides for the job's zone. */
final class ExplanationRequests {
  private static final long QUERY_TIMEOUT_MS = 1500;

  private final Member self;
  private final ZoneViews zones;
  private final JobPlane jobs;
  private final PeerClient peers;

  ExplanationRequests(Member self, ZoneViews zones, JobPlane jobs, PeerClient peers) {
    this.self = self;
    this.zones = zones;
    this.jobs = jobs;
    this.peers = peers;
  }

  /**
   * Returns the explanation as a JSON document; fails with a {@link Refusal} if the zone has no
   * entry host.
   */
  CompletableFuture<byte[]> explain(String jobName, String zone) {
    Optional<Member> decider = zones.dutyHolder(zone, JobPlane.DUTY);
    if (decider.isEmpty()) {
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "availability zone " + zone + " has no entry host",
              "start an entry host in the zone, or check the job's zone"));
    }
    Envelope.Builder query =
        Envelope.newBuilder().setJobQuery(JobQuery.newBuilder().setName(jobName));
    CompletableFuture<Envelope> reply =
        decider.get().equals(self)
            ? jobs.onQuery(query.getJobQuery()).thenApply(Envelope.Builder::build)
            : peers.send(decider.get().address(), query, QUERY_TIMEOUT_MS);
    return reply.thenApply(envelope -> envelope.getJobReply().getDocument().toByteArray());
  }
}
