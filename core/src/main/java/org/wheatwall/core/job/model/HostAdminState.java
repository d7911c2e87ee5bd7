package org.wheatwall.core.job.model;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Resource;

/**
 * The labels of a worker host and whether it is cordoned, as set by operators.
 *
 * @param cordoned whether no new work is placed on the host
 */
public record HostAdminState(Labels labels, boolean cordoned) implements Resource {
  /** Applies defaults. */
  public HostAdminState {
    labels = labels == null ? Labels.NONE : labels;
  }
}
