package org.wheatwall.core.batch.decision;

/** Status of the term holder, as another host learns it by a direct query. */
public enum HolderStatus {
  /** The holder has not been queried since its last record was read. */
  UNKNOWN,
  /** The holder acts under the term. */
  ACTING,
  /** The holder does not act under the term and will not do so again. */
  RESIGNED,
  /** The holder does not respond. */
  SILENT
}
