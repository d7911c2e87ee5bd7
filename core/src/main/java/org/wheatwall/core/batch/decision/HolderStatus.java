package org.wheatwall.core.batch.decision;

/** What the host that holds the term says when another host asks it directly. */
public enum HolderStatus {
  /** Not asked since its last record was read. */
  UNKNOWN,
  /** It acts on the term. */
  ACTING,
  /** It does not act on the term, and will not again. */
  RESIGNED,
  /** It does not answer. */
  SILENT
}
