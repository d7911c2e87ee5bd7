package org.wheatwall.wire.platform;

/** Answer of the log service to an append. */
public record AppendReply(long offset) {}
