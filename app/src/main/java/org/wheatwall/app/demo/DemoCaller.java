package org.wheatwall.app.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.json.Json;

/** Sends requests and operator calls to an entry host. */
final class DemoCaller {
  private static final Duration TIMEOUT = Duration.ofSeconds(12);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final String base;

  /**
   * A response to a request.
   *
   * @param outcome value of the header Wheatwall-Outcome, "none" if absent
   */
  record Reply(int status, String outcome, String body) {}

  DemoCaller(int port) {
    base = "http://127.0.0.1:" + port;
  }

  /** Sends a request that may be retried. */
  CompletableFuture<Reply> sendRead(String path) {
    return send(request("/call/refill/" + path).GET().build());
  }

  /** Sends a step, which must not run twice. */
  CompletableFuture<Reply> sendStep(String key, String body) {
    return send(
        request("/call/refill/dispense")
            .header("Idempotency-Key", key)
            .header("Wheatwall-Deadline-Ms", "5000")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Publishes an object and returns the HTTP status. */
  int publish(String path, String json) throws IOException, InterruptedException {
    HttpRequest request =
        request("/v1/" + path).PUT(HttpRequest.BodyPublishers.ofString(json)).build();
    return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
  }

  /** Fetches a document. */
  JsonNode get(String path) throws IOException, InterruptedException {
    HttpResponse<byte[]> response =
        client.send(request("/v1/" + path).GET().build(), HttpResponse.BodyHandlers.ofByteArray());
    return Json.tree(response.body());
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(base + path)).timeout(TIMEOUT);
  }

  private CompletableFuture<Reply> send(HttpRequest request) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
        .thenApply(
            response ->
                new Reply(
                    response.statusCode(),
                    response.headers().firstValue("Wheatwall-Outcome").orElse("none"),
                    response.body()));
  }
}
