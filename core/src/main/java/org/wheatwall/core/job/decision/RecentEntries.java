package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops the entries that were used least recently beyond a maximum number. */
final class RecentEntries<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /** Creates an empty map. */
  RecentEntries(int maxEntries) {
    super(16, 0.75f, true);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
