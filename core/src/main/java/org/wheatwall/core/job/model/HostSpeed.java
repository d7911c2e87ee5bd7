package org.wheatwall.core.job.model;

/** How long tasks take on a worker host, compared with other hosts of the cluster. */
public enum HostSpeed {
  /** Clearly less time than elsewhere. */
  FASTER,
  /** About as long as elsewhere, or too little is known. */
  USUAL,
  /** Clearly longer, though jobs of single tasks can bear it. */
  SLOWER,
  /** So much longer that any other host is better. */
  MUCH_SLOWER
}
