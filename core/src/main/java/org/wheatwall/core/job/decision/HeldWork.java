package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * The allocations on one host: the total of those that cannot be reclaimed, and the attempts that
 * hold the others. Whether an attempt is stopping or may be stopped is asked each time.
 */
final class HeldWork {
  private final List<Held> reclaimable;
  private final ResourceAmount fixed;
  private final boolean complete;

  private record Held(RunningAttempt attempt, ResourceAmount amount) {}

  private HeldWork(List<Held> reclaimable, ResourceAmount fixed, boolean complete) {
    this.reclaimable = reclaimable;
    this.fixed = fixed;
    this.complete = complete;
  }

  /** Returns the given allocations; those of attempts that are not known cannot be reclaimed. */
  static HeldWork of(
      Map<String, HostState.HostAllocation> allocations, Map<String, RunningAttempt> running) {
    List<Held> reclaimable = new ArrayList<>(allocations.size());
    ResourceAmount fixed = ResourceAmount.ZERO;
    boolean complete = true;
    for (Map.Entry<String, HostState.HostAllocation> entry : allocations.entrySet()) {
      RunningAttempt attempt = running.get(entry.getKey());
      complete &= attempt != null;
      if (attempt != null && entry.getValue().reclaimable()) {
        reclaimable.add(new Held(attempt, entry.getValue().amount()));
      } else {
        fixed = fixed.plus(entry.getValue().amount());
      }
    }
    return new HeldWork(reclaimable, fixed, complete);
  }

  /** Returns whether every attempt was known. */
  boolean complete() {
    return complete;
  }

  /** Returns what stays allocated if all attempts are stopped that may be. */
  ResourceAmount kept(Predicate<RunningAttempt> mayStop) {
    int processors = fixed.processors();
    int memoryMb = fixed.memoryMb();
    int accelerators = fixed.accelerators();
    for (Held held : reclaimable) {
      if (!held.attempt().stopping() && !mayStop.test(held.attempt())) {
        processors += held.amount().processors();
        memoryMb += held.amount().memoryMb();
        accelerators += held.amount().accelerators();
      }
    }
    return new ResourceAmount(processors, memoryMb, accelerators);
  }
}
