package org.wheatwall.core.request.model;

import java.util.Optional;

/**
 * One step that may not be repeated.
 *
 * @param key the caller's key
 * @param grant identifier of the leave to run
 * @param state what is known
 * @param response the kept answer
 * @param changedMs wall clock time of the last change, milliseconds since 1970
 */
public record StepRecord(
    String key,
    GrantId grant,
    StepState state,
    Optional<RunnerResponse> response,
    long changedMs) {}
