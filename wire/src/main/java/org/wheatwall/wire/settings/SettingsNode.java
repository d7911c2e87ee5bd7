package org.wheatwall.wire.settings;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A value of a settings file with its line number.
 *
 * @param value text, Long, Double, Boolean, list of nodes, or map of texts to nodes
 */
record SettingsNode(int line, Object value) {
  /** Returns the entries of a map value. */
  static Map<String, SettingsNode> entries(Map<?, ?> map) {
    Map<String, SettingsNode> entries = new LinkedHashMap<>();
    map.forEach((key, value) -> entries.put((String) key, (SettingsNode) value));
    return entries;
  }
}
