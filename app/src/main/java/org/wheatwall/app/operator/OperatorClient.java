package org.wheatwall.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.json.Json;

/** HTTP client for the operator API of an entry host. */
public final class OperatorClient {
  private static final String DEFAULT_SERVER = "127.0.0.1:7400";
  private static final int NOT_FOUND = 404;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final String baseUrl;
  private final Optional<String> token;

  /** Creates a client of the entry host at {@code server}, in the form IP:PORT. */
  public OperatorClient(String server, Optional<String> token) {
    this.baseUrl = "http://" + server;
    this.token = token;
  }

  /** Declares the options that all operator verbs share. */
  public static VerbOptions options(String usage) {
    return new VerbOptions(usage)
        .value("s", "server", "address of an entry host, default " + DEFAULT_SERVER)
        .value("token", "operator's token; default from WHEATWALL_TOKEN");
  }

  /** Creates a client from parsed options. */
  public static OperatorClient of(VerbOptions options) {
    String fallback = System.getenv("WHEATWALL_TOKEN");
    Optional<String> token = Optional.ofNullable(options.text("token", fallback));
    return new OperatorClient(options.text("server", DEFAULT_SERVER), token);
  }

  /** Fetches a document. */
  public JsonNode get(String path) {
    return send(request(path).GET().build());
  }

  /** Fetches a document, or returns empty if it does not exist. */
  public Optional<JsonNode> find(String path) {
    try {
      return Optional.of(get(path));
    } catch (Refusal refusal) {
      if (refusal.kind() == RefusalKind.NOT_FOUND) {
        return Optional.empty();
      }
      throw refusal;
    }
  }

  /** Writes an object, on condition of its current version if one is given. */
  public JsonNode put(String path, JsonNode body, Optional<Long> version) {
    HttpRequest.Builder request =
        request(path)
            .header("Content-Type", "application/json")
            .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)));
    version.ifPresent(number -> request.header("If-Match", "\"" + number + "\""));
    return send(request.build());
  }

  /** Deletes an object on condition of its current version. */
  public JsonNode delete(String path, long version) {
    return send(request(path).header("If-Match", "\"" + version + "\"").DELETE().build());
  }

  /** Returns text escaped for a query string. */
  public static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private HttpRequest.Builder request(String path) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create(baseUrl + path)).timeout(TIMEOUT);
      token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
      return request;
    } catch (IllegalArgumentException e) {
      throw Refusal.invalid(baseUrl + path + " is not an address", "give --server IP:PORT");
    }
  }

  private JsonNode send(HttpRequest request) {
    HttpResponse<byte[]> response;
    try {
      response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      throw new Refusal(
          RefusalKind.UNAVAILABLE,
          "no answer from " + baseUrl + ": " + e,
          "check the address given with --server");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new Refusal(RefusalKind.UNAVAILABLE, "interrupted", "run the command again");
    }
    JsonNode body = Json.tree(response.body());
    if (response.statusCode() >= 300) {
      throw new Refusal(
          response.statusCode() == NOT_FOUND ? RefusalKind.NOT_FOUND : RefusalKind.INVALID,
          body.path("title").asText() + ": " + body.path("detail").asText(),
          body.path("remedy").asText());
    }
    return body;
  }
}
