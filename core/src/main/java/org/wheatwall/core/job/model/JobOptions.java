package org.wheatwall.core.job.model;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wheatwall.core.common.Names;

/**
 * What a job asks of its hosts, and its class in the queue.
 *
 * @param priority class in the queue; a lower number goes first under a policy that looks at it
 * @param hostLabels keys of labels that every host of the job must carry
 * @param preferredRack rack that holds the job's data; used alone while the zone has it
 * @param spreadGroup name of the set of jobs that {@code spreadLimit} counts together
 * @param spreadLimit most tasks of the spread group on one host, 0 for no limit
 * @param resumable whether a stopped task goes on later from a recent checkpoint
 * @param avoidedHosts hosts that are used only if nothing else is left, because the job failed
 *     there
 * @param sharing how its tasks bear others on their host
 * @param permittedHosts the only hosts that may run it; every host if empty
 * @param suspect whether a host crashed as one of its tasks began; two such jobs never share a
 *     host, so that the next crash tells which of them it was
 */
public record JobOptions(
    int priority,
    Set<String> hostLabels,
    Optional<String> preferredRack,
    Optional<String> spreadGroup,
    int spreadLimit,
    boolean resumable,
    Set<String> avoidedHosts,
    HostSharing sharing,
    Optional<Set<String>> permittedHosts,
    boolean suspect) {
  /** Nothing asked for. */
  public static final JobOptions NONE =
      new JobOptions(
          0,
          Set.of(),
          Optional.empty(),
          Optional.empty(),
          0,
          false,
          Set.of(),
          HostSharing.ORDINARY,
          Optional.empty(),
          false);

  private static final int MAX_PRIORITY = 1000;

  /** Validates and applies defaults. */
  public JobOptions {
    hostLabels = hostLabels == null ? Set.of() : Set.copyOf(new TreeSet<>(hostLabels));
    preferredRack = preferredRack == null ? Optional.empty() : preferredRack;
    spreadGroup = spreadGroup == null ? Optional.empty() : spreadGroup;
    avoidedHosts = avoidedHosts == null ? Set.of() : Set.copyOf(new TreeSet<>(avoidedHosts));
    sharing = sharing == null ? HostSharing.ORDINARY : sharing;
    permittedHosts = permittedHosts == null ? Optional.empty() : permittedHosts.map(Set::copyOf);
    Names.requireRange("priority", priority, 0, MAX_PRIORITY);
    Names.requireRange("spreadLimit", spreadLimit, 0, Integer.MAX_VALUE);
  }

  /** Returns whether some hosts are preferred to others that would also do. */
  public boolean hasPreferences() {
    return preferredRack.isPresent() || !avoidedHosts.isEmpty();
  }

  /** Returns these options without the preferences. */
  public JobOptions withoutPreferences() {
    return new JobOptions(
        priority,
        hostLabels,
        Optional.empty(),
        spreadGroup,
        spreadLimit,
        resumable,
        Set.of(),
        sharing,
        permittedHosts,
        suspect);
  }

  /** Returns whether a host may run the job at all. */
  public boolean permits(String host) {
    return permittedHosts.map(hosts -> hosts.contains(host)).orElse(true);
  }
}
