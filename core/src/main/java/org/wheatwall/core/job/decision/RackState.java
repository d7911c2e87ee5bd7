package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.List;

/** The hosts of one rack and their total number of free accelerators. */
public final class RackState {
  private final String name;
  private final int index;
  private final List<HostState> hosts = new ArrayList<>();
  private int freeAccelerators;

  RackState(String name, int index) {
    this.name = name;
    this.index = index;
  }

  /** Returns the rack's name. */
  public String name() {
    return name;
  }

  /** Returns its hosts in the order in which they were added. */
  public List<HostState> hosts() {
    return hosts;
  }

  /** Returns the number of free accelerators of all its hosts. */
  public int freeAccelerators() {
    return freeAccelerators;
  }

  /** Returns the position of this rack in the order in which hosts and racks were added. */
  public int index() {
    return index;
  }

  void adjustFree(int difference) {
    freeAccelerators += difference;
  }
}
