package org.wheatwall.entry.batch.permit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.entry.common.Clock;

/** One request at a time, urgent ones first, and a pause after a failure. */
final class PermitRequestQueueTest {
  private static final PermitResponse ANSWER = new PermitResponse(Map.of("w", "text"), 1000);

  private final List<PermitRequest> requests = new ArrayList<>();
  private final List<CompletableFuture<PermitResponse>> responses = new ArrayList<>();
  private final List<Runnable> scheduledTasks = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
  private long nowMs = 10;

  private final PermitRequestQueue requestQueue =
      new PermitRequestQueue(
          request -> {
            requests.add(request);
            CompletableFuture<PermitResponse> response = new CompletableFuture<>();
            responses.add(response);
            return response;
          },
          Runnable::run,
          (delayMs, task) -> scheduledTasks.add(task),
          new Clock() {
            @Override
            public long nowMs() {
              return nowMs;
            }

            @Override
            public long wallMs() {
              return nowMs;
            }
          },
          new PermitRequestQueue.Listener() {
            @Override
            public void onPermitResponse(
                PermitRequest request, Optional<PermitResponse> response, long sentMs) {
              results.add(request.step().jobId() + " " + response.isPresent() + " " + sentMs);
            }

            @Override
            public void onPermitFailure(PermitRequest request, String cause) {
              results.add(request.step().jobId() + " failed: " + cause);
            }
          });

  private static PermitRequest request(String job, boolean urgent) {
    return new PermitRequest(new StepKey(job, 0, 0), List.of("w"), urgent);
  }

  private List<String> requestedJobs() {
    return requests.stream().map(request -> request.step().jobId()).toList();
  }

  @Test
  void oneRequestIsInFlightAndUrgentOnesGoFirst() {
    requestQueue.submit(request("first", false));
    requestQueue.submit(request("second", false));
    requestQueue.submit(request("urgent", true));
    assertThat(requestedJobs()).containsExactly("first");
    responses.get(0).complete(ANSWER);
    responses.get(1).complete(ANSWER);
    assertThat(requestedJobs()).containsExactly("first", "urgent", "second").inOrder();
  }

  // Permits are valid from the response, which follows the sending of the request, not its
  // queueing.
  @Test
  void theTimeOfARequestIsWhenItWasSent() {
    requestQueue.submit(request("first", false));
    requestQueue.submit(request("second", false));
    nowMs = 500;
    responses.get(0).complete(ANSWER);
    responses.get(1).complete(ANSWER);
    assertThat(results).containsExactly("first true 10", "second true 500").inOrder();
  }

  @Test
  void theNextRequestIsDelayedAfterAFailure() {
    requestQueue.submit(request("first", false));
    requestQueue.submit(request("second", false));
    responses.get(0).completeExceptionally(new PermitFailure("away"));
    assertThat(results).containsExactly("first failed: away", "first false 10").inOrder();
    assertThat(requestedJobs()).containsExactly("first");
    scheduledTasks.get(0).run();
    assertThat(requestedJobs()).containsExactly("first", "second").inOrder();
  }

  @Test
  void aFullQueueFailsRequestsAtOnce() {
    for (int i = 0; i <= PermitRequestQueue.MAX_WAITING; i++) {
      requestQueue.submit(request("job-" + i, false));
    }
    requestQueue.submit(request("late", false));
    assertThat(results).contains("late false 10");
  }

  @Test
  void aClosedQueueReportsNothing() {
    requestQueue.submit(request("first", false));
    requestQueue.submit(request("second", false));
    requestQueue.close();
    responses.get(0).complete(ANSWER);
    assertThat(results).isEmpty();
    assertThat(requestedJobs()).containsExactly("first");
  }
}
