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
 * One line of an entry host's decision log.
 *
 * @param host the host that logged it
 * @param atMs wall clock time of the host, milliseconds since 1970
 * @param event name of the event
 * @param fields inputs and outcome of the decision, by name
 */
record LogLine(String host, long atMs, String event, Map<String, String> fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  // The last word before the brace; it must hold a letter, so a time is not taken as the host.
  private static final Pattern HOST_BEFORE_BRACE = Pattern.compile("(\\S*[A-Za-z]\\S*)\\s*$");

  LogLine {
    fields = Map.copyOf(fields);
  }

  /** Returns a field, an empty string if the line has none of that name. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns an integer field, 0 if it is missing or not an integer. */
  long number(String name) {
    try {
      return Long.parseLong(field(name));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Parses a line; a time and the host's name may precede its first brace. Returns empty if it
   * holds no object with a time and an event.
   *
   * @param file file name, taken as the host if the line does not name one
   */
  static Optional<LogLine> parse(String text, String file) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode body = MAPPER.readTree(text.substring(brace));
      boolean complete =
          body.path("timestamp").isNumber() && body.path("formattedMessage").isTextual();
      return complete
          ? Optional.of(read(host(text.substring(0, brace), file), body))
          : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static String host(String prefix, String file) {
    Matcher hostName = HOST_BEFORE_BRACE.matcher(prefix);
    return hostName.find() ? hostName.group(1) : file;
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
