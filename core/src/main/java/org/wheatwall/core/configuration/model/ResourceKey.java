package org.wheatwall.core.configuration.model;

import java.util.Objects;
import org.wheatwall.core.common.Names;

/** Identity of one configuration object. */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {
  /** Validates the name. */
  public ResourceKey {
    Objects.requireNonNull(kind);
    Names.require("name of " + kind.path(), name);
  }

  @Override
  public int compareTo(ResourceKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.path() + "/" + name;
  }
}
