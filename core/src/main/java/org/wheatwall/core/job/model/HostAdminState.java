package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Resource;

/**
 * What operators say about a worker host.
 *
 * @param cordoned whether new work keeps off the host
 */
public record HostAdminState(Labels labels, boolean cordoned) implements Resource {
  /** Applies defaults. */
  public HostAdminState {
    labels = labels == null ? Labels.NONE : labels;
  }
}
