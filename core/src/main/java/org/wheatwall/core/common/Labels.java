package org.wheatwall.core.common;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Immutable labels of an object, sorted by key. */
public record Labels(Map<String, String> entries) {
  /** No labels. */
  public static final Labels NONE = new Labels(Map.of());

  private static final int MAX_ENTRIES = 32;

  /** Validates every key and value. */
  public Labels {
    if (entries == null) {
      entries = Map.of();
    }
    if (entries.size() > MAX_ENTRIES) {
      throw Refusal.invalid(
          entries.size() + " labels on one object", "use at most " + MAX_ENTRIES + " labels");
    }
    for (Map.Entry<String, String> entry : entries.entrySet()) {
      if (!Names.isLabelText(entry.getKey()) || !Names.isLabelText(entry.getValue())) {
        throw Refusal.invalid(
            "label \"" + entry.getKey() + "=" + entry.getValue() + "\" is not well formed",
            "use 1 to 63 letters, digits, '.', '_', '/' or '-' for key and value");
      }
    }
    entries =
        entries.isEmpty()
            ? Map.of()
            : java.util.Collections.unmodifiableMap(new TreeMap<>(entries));
  }

  /** Returns the value of {@code key}. */
  public Optional<String> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }
}
