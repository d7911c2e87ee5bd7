package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;

/** Places the equal tasks of a gang on hosts in a given order. */
public final class GangFitter {
  private GangFitter() {}

  /** Fills {@code hosts} in iteration order; returns empty if not all tasks fit. */
  public static Optional<Placement> fit(
      Iterable<HostState> hosts,
      int tasks,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    List<String> chosen = new ArrayList<>(tasks);
    for (HostState host : hosts) {
      int count = Math.min(available.apply(host).countFitting(amount), tasks - chosen.size());
      for (int i = 0; i < count; i++) {
        chosen.add(host.name());
      }
      if (chosen.size() == tasks) {
        return Optional.of(new Placement(chosen));
      }
    }
    return Optional.empty();
  }

  /** Returns how many tasks fit on {@code hosts} in total, at most {@code needed}. */
  public static int countFitting(
      Collection<HostState> hosts,
      int needed,
      ResourceAmount amount,
      Function<HostState, ResourceAmount> available) {
    int count = 0;
    for (HostState host : hosts) {
      count += Math.min(needed, available.apply(host).countFitting(amount));
      if (count >= needed) {
        return needed;
      }
    }
    return count;
  }
}
