package org.wheatwall.app.account;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One line that an entry host wrote about a decision.
 *
 * @param atMs time of day on the host's clock, milliseconds since 1970
 * @param event what happened
 * @param fields inputs and outcome
 */
record LogLine(long atMs, String event, Map<String, String> fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  LogLine {
    fields = Map.copyOf(fields);
  }

  /** Returns a field, empty text if the line has none of that name. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns a field that is a whole number, 0 if it is missing or none. */
  long number(String name) {
    try {
      return Long.parseLong(field(name));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Reads a line; what stands before its first brace, such as a time or a host, is passed over.
   * Empty if it holds no object with a time and an event.
   */
  static Optional<LogLine> parse(String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode body = MAPPER.readTree(text.substring(brace));
      boolean whole =
          body.path("timestamp").isNumber() && body.path("formattedMessage").isTextual();
      return whole ? Optional.of(read(body)) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static LogLine read(JsonNode body) {
    Map<String, String> fields = new HashMap<>();
    for (JsonNode pair : body.path("kvpList")) {
      pair.properties().forEach(entry -> fields.put(entry.getKey(), entry.getValue().asText()));
    }
    return new LogLine(
        body.path("timestamp").asLong(), body.path("formattedMessage").asText(), fields);
  }
}
