package org.wheatwall.core.configuration.model;

import java.util.Optional;
import org.wheatwall.core.common.Resource;

/**
 * One object of the replicated configuration. A removed object remains as a tombstone (no value) as
 * long as a repeat of an old change can still arrive.
 *
 * @param version offset of the log record that last changed the object, plus one
 */
public record StoredResource(ResourceKey key, long version, Optional<Resource> value) {}
