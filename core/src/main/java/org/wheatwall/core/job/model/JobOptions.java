package org.wheatwall.core.job.model;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wheatwall.core.common.Names;

/**
 * Host constraints and preferences of a job, and its priority in the queue.
 *
 * @param priority priority class; lower numbers go first under policies that use priorities
 * @param hostLabels keys of labels that every host of the job must have
 * @param preferredRack rack that holds the job's data; no other rack is used while the zone has it
 * @param spreadGroup name of the set of jobs to which {@code spreadLimit} applies as a whole
 * @param spreadLimit maximum tasks of the spread group on one host, 0 for no limit
 * @param resumable whether a stopped task resumes later from a recent checkpoint
 * @param avoidedHosts hosts on which the job failed; they are used only if no other host is left
 * @param sharing which other tasks may share a host with its tasks
 * @param permittedHosts the only hosts that may run it; all hosts may if empty
 * @param suspect whether a host crashed when one of its tasks started; two such jobs never share a
 *     host, so that a further crash identifies the job that caused it
 * @param longRunning whether it runs until it is cancelled, so that its run time is not limited and
 *     its end cannot be expected
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
    boolean suspect,
    boolean longRunning) {
  /** No constraints and no preferences. */
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

  /** Creates options of a job that ends by itself. */
  public JobOptions(
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
    this(
        priority,
        hostLabels,
        preferredRack,
        spreadGroup,
        spreadLimit,
        resumable,
        avoidedHosts,
        sharing,
        permittedHosts,
        suspect,
        false);
  }

  /** Returns whether some hosts are preferred to others that also satisfy the constraints. */
  public boolean hasPreferences() {
    return preferredRack.isPresent() || !avoidedHosts.isEmpty();
  }

  /** Returns a copy of these options without the preferences. */
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
        suspect,
        longRunning);
  }

  /** Returns a copy of these options that avoids more hosts. */
  public JobOptions avoiding(Set<String> moreHosts) {
    Set<String> avoided = new HashSet<>(avoidedHosts);
    avoided.addAll(moreHosts);
    return new JobOptions(
        priority,
        hostLabels,
        preferredRack,
        spreadGroup,
        spreadLimit,
        resumable,
        avoided,
        sharing,
        permittedHosts,
        suspect,
        longRunning);
  }

  /** Returns whether the job may run on a host. */
  public boolean permits(String host) {
    return permittedHosts.map(hosts -> hosts.contains(host)).orElse(true);
  }
}
