package org.wheatwall.entry.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.membership.decision.ViewProposer;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.configuration.Draft;
import org.wheatwall.entry.platform.HostDirectory;

/**
 * Publishes this host's proposals of new views through the log, one at a time, while the log is
 * reachable. Confined to the state thread.
 */
final class ViewProposals {
  private final ViewProposer proposer;
  private final ResourceKey key;
  private final ConfigurationService configuration;
  private final HostDirectory directory;
  private final Executor stateThread;
  private boolean proposalInFlight;

  ViewProposals(
      ViewProposer proposer,
      String zone,
      ConfigurationService configuration,
      HostDirectory directory,
      Executor stateThread) {
    this.proposer = proposer;
    this.key = new ResourceKey(ResourceKind.VIEWS, zone);
    this.configuration = configuration;
    this.directory = directory;
    this.stateThread = stateThread;
  }

  /** Records that a message of another entry host of the zone was received. */
  void onMessage(Member member, long nowMs) {
    proposer.onMessage(member, nowMs);
  }

  /** Records that a member has retired. */
  void onRetired(String memberId) {
    proposer.onRetired(memberId);
  }

  /** Proposes a successor of {@code view} if one is needed. */
  void propose(Optional<ZoneView> view, long epoch, long nowMs) {
    boolean logIsCurrent = configuration.sinceHeadMs() < MembershipService.LOG_STALE_MS;
    if (proposalInFlight || !logIsCurrent) {
      return;
    }
    Set<String> live = new HashSet<>();
    directory.entryHosts().forEach(host -> live.add(host.name()));
    proposer.propose(view, live, nowMs).ifPresent(next -> publish(epoch, next));
  }

  private void publish(long epoch, ZoneView next) {
    proposalInFlight = true;
    configuration
        .publish(Draft.of(key, epoch, Optional.of(next), Draft.Priority.VIEW))
        .whenCompleteAsync((verdict, failure) -> proposalInFlight = false, stateThread);
  }
}
