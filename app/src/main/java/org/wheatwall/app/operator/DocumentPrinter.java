package org.wheatwall.app.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.wheatwall.app.command.Console;
import org.wheatwall.wire.json.Json;

/** Prints documents as JSON or as a table. */
final class DocumentPrinter {
  private DocumentPrinter() {}

  static void printJson(JsonNode node, Console console) {
    try {
      console.out(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree can always be written", e);
    }
  }

  static void printTable(List<JsonNode> items, Console console) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("NAME", "VERSION", "LABELS", "SPEC"));
    for (JsonNode item : items) {
      JsonNode spec = item.path("spec");
      rows.add(
          List.of(
              item.path("name").asText(),
              item.path("version").asText(),
              labels(spec.path("labels")),
              summary(spec)));
    }
    int[] widths = new int[4];
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    for (List<String> row : rows) {
      console.out(
          String.format(
                  "%-"
                      + (widths[0] + 2)
                      + "s%-"
                      + (widths[1] + 2)
                      + "s%-"
                      + (widths[2] + 2)
                      + "s%s",
                  row.toArray())
              .stripTrailing());
    }
  }

  private static String labels(JsonNode labels) {
    List<String> parts = new ArrayList<>();
    labels.fields().forEachRemaining(e -> parts.add(e.getKey() + "=" + e.getValue().asText()));
    return String.join(",", parts);
  }

  private static String summary(JsonNode spec) {
    List<String> parts = new ArrayList<>();
    spec.fields()
        .forEachRemaining(
            entry -> {
              if (entry.getValue().isValueNode() && !entry.getValue().isNull()) {
                parts.add(entry.getKey() + "=" + entry.getValue().asText());
              }
            });
    return String.join(" ", parts);
  }
}
