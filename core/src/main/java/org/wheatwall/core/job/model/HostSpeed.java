package org.wheatwall.core.job.model;

/** Speed of a worker host, by how long tasks take on it compared with other hosts. */
public enum HostSpeed {
  /** Tasks take clearly less time than on other hosts. */
  FASTER,
  /** Tasks take about as long as on other hosts, or too few have been observed. */
  USUAL,
  /** Tasks take clearly longer, which is acceptable for single-task jobs. */
  SLOWER,
  /** Tasks take so much longer that any other host is preferred. */
  MUCH_SLOWER
}
