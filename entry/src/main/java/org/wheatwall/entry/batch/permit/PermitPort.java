package org.wheatwall.entry.batch.permit;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;

/** The service that decides for some queues which workers may run a step. */
public interface PermitPort {
  /** Requests permits; fails with {@link PermitFailure}, and the request may be retried. */
  CompletableFuture<PermitResponse> requestPermits(PermitRequest request);
}
