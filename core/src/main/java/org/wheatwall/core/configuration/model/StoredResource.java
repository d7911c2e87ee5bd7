package org.wheatwall.core.configuration.model;

import java.util.Optional;
import org.wheatwall.core.common.Resource;

/**
 * One object of the replicated configuration. A removed object stays as a tombstone (no value) for
 * as long as a repeated old change could still arrive.
 *
 * @param version offset of the log record that last changed the object, plus one
 */
public record StoredResource(ResourceKey key, long version, Optional<Resource> value) {}
