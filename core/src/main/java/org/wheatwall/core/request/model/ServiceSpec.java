package org.wheatwall.core.request.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Resource;

/**
 * Settings of one service that callers use.
 *
 * @param queueLimit maximum number of requests that wait on one entry host
 * @param retryPercent allowed retries, percent of first attempts
 * @param maxAttempts maximum attempts of one repeatable request
 */
public record ServiceSpec(Labels labels, int queueLimit, int retryPercent, int maxAttempts)
    implements Resource {
  /** Settings of a service that operators have not configured. */
  public static final ServiceSpec DEFAULT = new ServiceSpec(Labels.NONE, 0, 0, 0);

  private static final int DEFAULT_QUEUE_LIMIT = 256;
  private static final int DEFAULT_RETRY_PERCENT = 10;
  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /** Validates and applies defaults. */
  public ServiceSpec {
    labels = labels == null ? Labels.NONE : labels;
    queueLimit = queueLimit == 0 ? DEFAULT_QUEUE_LIMIT : queueLimit;
    retryPercent = retryPercent == 0 ? DEFAULT_RETRY_PERCENT : retryPercent;
    maxAttempts = maxAttempts == 0 ? DEFAULT_MAX_ATTEMPTS : maxAttempts;
    Names.requireRange("queueLimit", queueLimit, 1, 100_000);
    Names.requireRange("retryPercent", retryPercent, 1, 100);
    Names.requireRange("maxAttempts", maxAttempts, 1, 10);
  }
}
