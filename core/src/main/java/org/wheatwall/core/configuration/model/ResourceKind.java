package org.wheatwall.core.configuration.model;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of configuration object, with the names of the operator API's paths. */
public enum ResourceKind {
  WORKSPACES,
  SHAPES,
  POLICIES,
  JOBS,
  HOSTS,
  SERVICES,
  /** Views of availability zones; written by entry hosts, never by operators. */
  VIEWS;

  /** Returns the path segment of this kind. */
  public String path() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Returns the kind with this path segment, empty if there is none. */
  public static Optional<ResourceKind> ofPath(String path) {
    return Arrays.stream(values()).filter(kind -> kind.path().equals(path)).findFirst();
  }
}
