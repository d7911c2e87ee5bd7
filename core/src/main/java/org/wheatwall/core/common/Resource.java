package org.wheatwall.core.common;

/** A value that operators publish: the content of one configuration object. */
public interface Resource {
  /** Returns the labels that selectors match. */
  Labels labels();
}
