package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import org.wheatwall.core.batch.decision.HolderStatus;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.entry.batch.peer.HolderPort;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Queries the term holder directly once its records are overdue. A holder that is partitioned from
 * the store replies that it resigns, and one that lost power does not reply: either status lets
 * another host claim the term about a second earlier than the absence of log records alone.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class HolderPoller {
  // One lost packet must not make a holder seem dead.
  private static final int MAX_ATTEMPTS = 2;

  private final HolderPort port;
  private final TermRule rule;
  private final JobReplica replica;
  private final BatchContext context;
  private final Runnable onStatus;
  private boolean polling;

  /**
   * Creates a poller.
   *
   * @param onStatus run when the holder's status was determined
   */
  HolderPoller(
      HolderPort port, TermRule rule, JobReplica replica, BatchContext context, Runnable onStatus) {
    this.port = port;
    this.rule = rule;
    this.replica = replica;
    this.context = context;
    this.onStatus = onStatus;
  }

  /** Queries the holder if that is due. */
  void pollIfDue() {
    if (!polling && isDue()) {
      Optional<String> address = addressOfHolder();
      polling = address.isPresent();
      address.ifPresent(holder -> poll(holder, replica.table().termNumber(), MAX_ATTEMPTS));
    }
  }

  /** Returns whether the holder has to be queried now. */
  boolean isDue() {
    return rule.mayQueryHolder(replica.table().term(), context.clock().nowMs());
  }

  private Optional<String> addressOfHolder() {
    return replica
        .table()
        .term()
        .map(LogContent.Term::holder)
        .map(replica.table().hosts()::get)
        .map(LogContent.Host::address);
  }

  private void poll(String address, long term, int attemptsLeft) {
    LoopCallbacks.whenDone(
        port.actsOn(address, term),
        context.loop(),
        (acts, failure) -> {
          boolean outdated = !isDue() || replica.table().termNumber() != term;
          if (outdated) {
            polling = false;
          } else if (failure != null && attemptsLeft > 1) {
            poll(address, term, attemptsLeft - 1);
          } else {
            recordStatus(term, failure == null ? statusOf(acts) : HolderStatus.SILENT);
          }
        });
  }

  private static HolderStatus statusOf(boolean acts) {
    return acts ? HolderStatus.ACTING : HolderStatus.RESIGNED;
  }

  private void recordStatus(long term, HolderStatus status) {
    polling = false;
    if (status != rule.holderStatus()) {
      context.decisions().log("holder-asked", field("term", term), field("sign", status));
    }
    rule.onHolderQueried(status);
    onStatus.run();
  }
}
