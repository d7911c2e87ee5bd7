package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.List;

/** The hosts of one rack and their free accelerators, in total and by {@link RunTimeClass}. */
public final class RackState {
  private final String name;
  private final int index;
  private final List<HostState> hosts = new ArrayList<>();
  private final int[] freeByClass = new int[RunTimeClass.COUNT];
  private final int[] hostsByClass = new int[RunTimeClass.COUNT];
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

  /** Returns the number of free accelerators of its hosts of one class. */
  public int freeOf(int runTimeClass) {
    return freeByClass[runTimeClass];
  }

  /** Returns the number of free accelerators of its hosts of a class and all faster ones. */
  public int freeUpTo(int runTimeClass) {
    int free = 0;
    for (int i = 0; i <= runTimeClass; i++) {
      free += freeByClass[i];
    }
    return free;
  }

  /** Returns the number of its hosts of one class. */
  int hostsOf(int runTimeClass) {
    return hostsByClass[runTimeClass];
  }

  void adjustClass(int runTimeClass, int freeDifference, int hostsDifference) {
    freeByClass[runTimeClass] += freeDifference;
    hostsByClass[runTimeClass] += hostsDifference;
  }
}
