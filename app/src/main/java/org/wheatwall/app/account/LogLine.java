package org.wheatwall.app.account;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line that an entry host wrote about a decision.
 *
 * @param host the host that wrote it
 * @param atMs time of day on the host's clock, milliseconds since 1970
 * @param event what happened
 * @param fields inputs and outcome
 */
record LogLine(String host, long atMs, String event, Map<String, String> fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  // The last word that is no mere number, such as a time.
  private static final Pattern HOST_BEFORE_BRACE = Pattern.compile("(\\S*[A-Za-z]\\S*)\\s*$");

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
   * Reads a line; before its first brace may stand a time and the host's name. Empty if it holds no
   * object with a time and an event.
   *
   * @param file stands for the host if the line does not name it
   */
  static Optional<LogLine> parse(String text, String file) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode body = MAPPER.readTree(text.substring(brace));
      boolean whole =
          body.path("timestamp").isNumber() && body.path("formattedMessage").isTextual();
      return whole
          ? Optional.of(read(host(text.substring(0, brace), file), body))
          : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static String host(String prefix, String file) {
    Matcher named = HOST_BEFORE_BRACE.matcher(prefix);
    return named.find() ? named.group(1) : file;
  }

  private static LogLine read(String host, JsonNode body) {
    Map<String, String> fields = new HashMap<>();
    for (JsonNode pair : body.path("kvpList")) {
      pair.properties().forEach(entry -> fields.put(entry.getKey(), entry.getValue().asText()));
    }
    return new LogLine(
        host, body.path("timestamp").asLong(), body.path("formattedMessage").asText(), fields);
  }
}
