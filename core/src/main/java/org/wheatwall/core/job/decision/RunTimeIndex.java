package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** Racks by the accelerators that are free on their hosts of each {@link RunTimeClass}. */
final class RunTimeIndex {
  private static final Comparator<RackState> RACK_ORDER = Comparator.comparingInt(RackState::index);

  private final List<NavigableMap<Integer, NavigableSet<RackState>>> classes = new ArrayList<>();

  RunTimeIndex(Collection<RackState> racks) {
    for (int i = 0; i < RunTimeClass.COUNT; i++) {
      classes.add(new TreeMap<>());
      for (RackState rack : racks) {
        add(rack, i);
      }
    }
  }

  /** Adds a rack to a class if it has hosts of that class. */
  void add(RackState rack, int runTimeClass) {
    if (rack.hostsOf(runTimeClass) > 0) {
      classes
          .get(runTimeClass)
          .computeIfAbsent(rack.freeOf(runTimeClass), free -> new TreeSet<>(RACK_ORDER))
          .add(rack);
    }
  }

  /** Removes a rack from a class; its counts must not have changed since it was added. */
  void remove(RackState rack, int runTimeClass) {
    NavigableMap<Integer, NavigableSet<RackState>> byFree = classes.get(runTimeClass);
    NavigableSet<RackState> group = byFree.get(rack.freeOf(runTimeClass));
    if (group != null) {
      group.remove(rack);
      if (group.isEmpty()) {
        byFree.remove(rack.freeOf(runTimeClass));
      }
    }
  }

  /** Returns the racks with hosts of a class, in groups of the same number free, by that number. */
  NavigableMap<Integer, NavigableSet<RackState>> byFree(int runTimeClass) {
    return classes.get(runTimeClass);
  }
}
