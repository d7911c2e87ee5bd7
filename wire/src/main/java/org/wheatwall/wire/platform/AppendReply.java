package org.wheatwall.wire.platform;

/** Response of the log service to an append. */
public record AppendReply(long offset) {}
