package org.wheatwall.wire.settings;

/**
 * One fault of a settings file.
 *
 * @param line line number, from 1
 * @param key path of the key, as {@code log.address}
 * @param detail what is wrong
 * @param remedy what to write instead
 */
public record SettingsFault(int line, String key, String detail, String remedy) {
  @Override
  public String toString() {
    return "line " + line + ": " + key + ": " + detail + "; remedy: " + remedy;
  }
}
