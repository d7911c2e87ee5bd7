package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.Set;

/**
 * The availability zones that the operator evacuates: no task may start there. What runs there
 * continues.
 */
public interface ZoneEvacuations {
  /**
   * Returns the evacuated zones; empty if this host cannot know them now, because the operator's
   * records have not been read for too long. May be called on any thread.
   */
  Optional<Set<String>> current();
}
