package org.wheatwall.wire.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.wire.http.Addresses;

/**
 * An object of a settings file. Reading a key checks it and records a fault instead of throwing, so
 * that one pass reports every fault; {@link #reportUnknownKeys} reports keys that were never read.
 */
public final class SettingsSection {
  private final String path;
  private final int line;
  private final Map<String, SettingsNode> entries;
  private final List<SettingsFault> faults;
  private final Set<String> readKeys = new HashSet<>();
  private final List<SettingsSection> sections = new ArrayList<>();

  SettingsSection(
      String path, int line, Map<String, SettingsNode> entries, List<SettingsFault> faults) {
    this.path = path;
    this.line = line;
    this.entries = entries;
    this.faults = faults;
  }

  /** Returns a required name. */
  public String name(String key) {
    String text = text(key, null);
    return text == null ? "invalid" : checked(key, "invalid", () -> Names.require(key, text));
  }

  /** Returns a string; required if {@code fallback} is null. */
  public String text(String key, String fallback) {
    SettingsNode node = node(key, fallback == null, "a text");
    if (node == null) {
      return fallback;
    }
    if (node.value() instanceof String text) {
      return text;
    }
    addFault(node.line(), key, "is not a text", "write it between double quotes");
    return fallback;
  }

  /** Returns a required address. */
  public InetSocketAddress address(String key) {
    InetSocketAddress none = new InetSocketAddress(0);
    String text = text(key, null);
    return text == null ? none : checked(key, none, () -> Addresses.parse(text));
  }

  /** Returns a whole number within bounds. */
  public int integer(String key, int low, int high, int fallback) {
    SettingsNode node = node(key, false, "a number");
    if (node == null) {
      return fallback;
    }
    if (node.value() instanceof Long number && number >= low && number <= high) {
      return number.intValue();
    }
    addFault(
        node.line(), key, "is " + node.value(), "write a whole number from " + low + " to " + high);
    return fallback;
  }

  /** Returns an integer or decimal number within bounds. */
  public double number(String key, double low, double high, double fallback) {
    SettingsNode node = node(key, false, "a number");
    if (node == null) {
      return fallback;
    }
    boolean numeric = node.value() instanceof Long || node.value() instanceof Double;
    double value = numeric ? ((Number) node.value()).doubleValue() : Double.NaN;
    if (value >= low && value <= high) {
      return value;
    }
    addFault(node.line(), key, "is " + node.value(), "write a number from " + low + " to " + high);
    return fallback;
  }

  /** Returns a truth value. */
  public boolean flag(String key, boolean fallback) {
    SettingsNode node = node(key, false, "true or false");
    if (node == null) {
      return fallback;
    }
    if (node.value() instanceof Boolean value) {
      return value;
    }
    addFault(node.line(), key, "is " + node.value(), "write true or false");
    return fallback;
  }

  /** Returns a list of strings; empty if absent. */
  public List<String> texts(String key) {
    SettingsNode node = node(key, false, "a list");
    List<String> texts = new ArrayList<>();
    if (node == null) {
      return texts;
    }
    if (!(node.value() instanceof List<?> list)) {
      addFault(node.line(), key, "is not a list", "write a list of texts, as [\"a\", \"b\"]");
      return texts;
    }
    for (Object item : list) {
      if (item instanceof SettingsNode entry && entry.value() instanceof String text) {
        texts.add(text);
      } else {
        addFault(node.line(), key, "has an entry that is not a text", "write texts only");
      }
    }
    return texts;
  }

  /** Returns a subsection; an empty one if absent. */
  public SettingsSection section(String key) {
    SettingsNode node = node(key, false, "an object");
    SettingsSection section = subsection(key, node);
    sections.add(section);
    return section;
  }

  /** Returns the keys of this section, for sections whose keys the user chooses. */
  public Set<String> keys() {
    return entries.keySet();
  }

  /** Records a fault at a key. */
  public void addFault(String key, String detail, String remedy) {
    SettingsNode node = entries.get(key);
    addFault(node == null ? line : node.line(), key, detail, remedy);
  }

  /** Records a fault for every key that was not read, here and in the subsections read. */
  public void reportUnknownKeys() {
    for (Map.Entry<String, SettingsNode> entry : entries.entrySet()) {
      if (!readKeys.contains(entry.getKey())) {
        addFault(
            entry.getValue().line(),
            entry.getKey(),
            "is not a known key",
            "remove it, or use one of " + new java.util.TreeSet<>(readKeys));
      }
    }
    sections.forEach(SettingsSection::reportUnknownKeys);
  }

  private SettingsSection subsection(String key, SettingsNode node) {
    if (node == null) {
      return new SettingsSection(path + key + ".", line, Map.of(), faults);
    }
    if (node.value() instanceof Map<?, ?> map) {
      Map<String, SettingsNode> entriesOfNode = SettingsNode.entries(map);
      return new SettingsSection(path + key + ".", node.line(), entriesOfNode, faults);
    }
    addFault(node.line(), key, "is not an object", "write an object between braces");
    return new SettingsSection(path + key + ".", line, Map.of(), faults);
  }

  private SettingsNode node(String key, boolean required, String what) {
    readKeys.add(key);
    SettingsNode node = entries.get(key);
    if (node == null && required) {
      addFault(line, key, "is missing", "add " + what + " for this key");
    }
    return node;
  }

  private <T> T checked(String key, T fallback, java.util.function.Supplier<T> read) {
    try {
      return read.get();
    } catch (Refusal refusal) {
      addFault(key, refusal.detail(), refusal.remedy());
      return fallback;
    }
  }

  private void addFault(int atLine, String key, String detail, String remedy) {
    faults.add(new SettingsFault(atLine, path + key, detail, remedy));
  }
}
