package org.wheatwall.core.request.model;

import java.util.Optional;

/**
 * The record of one step that must not run twice.
 *
 * @param key the caller's key
 * @param grant identifier of the grant to run the step
 * @param state the state of the step
 * @param response the retained response, if any
 * @param changedMs when this host learned of the last change, milliseconds on its monotonic clock
 */
public record StepRecord(
    String key,
    GrantId grant,
    StepState state,
    Optional<RunnerResponse> response,
    long changedMs) {}
