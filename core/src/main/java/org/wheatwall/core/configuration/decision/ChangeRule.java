package org.wheatwall.core.configuration.decision;

import java.util.Optional;
import org.wheatwall.core.configuration.model.Change;

/**
 * A rule that a change must satisfy besides naming the current version. It must depend only on the
 * change and the replica, so that every replica decides alike.
 */
public interface ChangeRule {
  /** Returns why {@code change} must be refused, empty if it may be accepted. */
  Optional<String> objection(Change change, ConfigurationReplica replica);
}
