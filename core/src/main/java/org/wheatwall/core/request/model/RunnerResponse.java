package org.wheatwall.core.request.model;

/**
 * A runner's whole answer.
 *
 * @param status HTTP status
 * @param contentType media type, empty if none was given
 * @param body bytes; not copied, and not changed by anyone
 */
public record RunnerResponse(int status, String contentType, byte[] body) {}
