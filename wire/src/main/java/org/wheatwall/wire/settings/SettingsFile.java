package org.wheatwall.wire.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.wheatwall.core.common.Refusal;

/** Reads a settings file, which is JSON with comments, and reports all its faults. */
public final class SettingsFile {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private SettingsFile() {}

  /**
   * Reads settings; returns the value, or null with every fault added to {@code faults}.
   *
   * @param reader reads each key from the section
   */
  public static <T> T read(
      String text, Function<SettingsSection, T> reader, List<SettingsFault> faults) {
    SettingsNode root = parse(text, faults);
    if (root == null) {
      return null;
    }
    if (!(root.value() instanceof Map<?, ?> map)) {
      faults.add(new SettingsFault(root.line(), "", "is not an object", "write { ... }"));
      return null;
    }
    SettingsSection section =
        new SettingsSection("", root.line(), SettingsNode.entries(map), faults);
    T value = readChecked(section, reader, faults);
    section.reportUnknownKeys();
    return faults.isEmpty() ? value : null;
  }

  /** Reads settings; refuses them with a message that lists every fault. */
  public static <T> T require(String text, Function<SettingsSection, T> reader) {
    List<SettingsFault> faults = new ArrayList<>();
    T value = read(text, reader, faults);
    if (value == null) {
      StringBuilder list = new StringBuilder();
      faults.forEach(fault -> list.append("\n  ").append(fault));
      throw Refusal.invalid("settings have faults:" + list, "correct each line named");
    }
    return value;
  }

  private static <T> T readChecked(
      SettingsSection section, Function<SettingsSection, T> reader, List<SettingsFault> faults) {
    try {
      return reader.apply(section);
    } catch (Refusal refusal) {
      faults.add(new SettingsFault(1, "", refusal.detail(), refusal.remedy()));
      return null;
    }
  }

  private static SettingsNode parse(String text, List<SettingsFault> faults) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        faults.add(new SettingsFault(1, "", "the file is empty", "write { ... }"));
        return null;
      }
      return node(parser, "", faults);
    } catch (JsonParseException e) {
      faults.add(
          new SettingsFault(
              e.getLocation().getLineNr(), "", e.getOriginalMessage(), "correct the JSON here"));
      return null;
    } catch (IOException e) {
      throw new IllegalStateException("failed to read from memory", e);
    }
  }

  private static SettingsNode node(JsonParser parser, String path, List<SettingsFault> faults)
      throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    Object value =
        switch (parser.currentToken()) {
          case START_OBJECT -> object(parser, path, faults);
          case START_ARRAY -> array(parser, path, faults);
          case VALUE_NUMBER_INT -> parser.getLongValue();
          case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
          case VALUE_TRUE -> true;
          case VALUE_FALSE -> false;
          case VALUE_NULL -> "null";
          default -> parser.getText();
        };
    return new SettingsNode(line, value);
  }

  private static Map<String, SettingsNode> object(
      JsonParser parser, String path, List<SettingsFault> faults) throws IOException {
    Map<String, SettingsNode> entries = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      int line = parser.currentTokenLocation().getLineNr();
      parser.nextToken();
      if (entries.put(key, node(parser, path + key + ".", faults)) != null) {
        faults.add(new SettingsFault(line, path + key, "is given twice", "keep one of the two"));
      }
    }
    return entries;
  }

  private static List<SettingsNode> array(
      JsonParser parser, String path, List<SettingsFault> faults) throws IOException {
    List<SettingsNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(node(parser, path, faults));
    }
    return items;
  }
}
