package org.wheatwall.core.job.policy;

import java.util.Collection;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.PriorityQueue;
import org.wheatwall.core.job.decision.HostState;

/** Iterates lazily over the hosts of several groups in cluster order, merging the groups. */
final class HostsInClusterOrder implements Iterable<HostState> {
  private final Collection<NavigableSet<HostState>> groups;

  HostsInClusterOrder(Collection<NavigableSet<HostState>> groups) {
    this.groups = groups;
  }

  private record Head(HostState host, Iterator<HostState> rest) {}

  @Override
  public Iterator<HostState> iterator() {
    PriorityQueue<Head> heads =
        new PriorityQueue<>((a, b) -> Integer.compare(a.host().index(), b.host().index()));
    for (NavigableSet<HostState> group : groups) {
      push(heads, group.iterator());
    }
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return !heads.isEmpty();
      }

      @Override
      public HostState next() {
        Head head = heads.remove();
        push(heads, head.rest());
        return head.host();
      }
    };
  }

  private static void push(PriorityQueue<Head> heads, Iterator<HostState> rest) {
    if (rest.hasNext()) {
      heads.add(new Head(rest.next(), rest));
    }
  }
}
