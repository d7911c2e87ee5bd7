package org.wheatwall.core.request.model;

/**
 * The complete response of a runner.
 *
 * @param status HTTP status
 * @param contentType media type, empty if the response has none
 * @param body bytes; not copied, must not be modified
 */
public record RunnerResponse(int status, String contentType, byte[] body) {}
