package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import org.wheatwall.core.batch.decision.HolderStatus;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.entry.batch.peer.HolderPort;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Asks the host that holds the term directly once its records stay away. A holder that was cut off
 * from the store says that it gives up, and one that lost its power says nothing: with either sign
 * another host claims the term about a second earlier than by the silence of the log alone.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class HolderWatch {
  // One lost packet must not make a holder seem gone.
  private static final int QUESTIONS = 2;

  private final HolderPort port;
  private final TermRule rule;
  private final JobReplica replica;
  private final BatchTools tools;
  private final Runnable onSign;
  private boolean asking;

  /**
   * Creates a watch.
   *
   * @param onSign run when something was found out about the holder
   */
  HolderWatch(
      HolderPort port, TermRule rule, JobReplica replica, BatchTools tools, Runnable onSign) {
    this.port = port;
    this.rule = rule;
    this.replica = replica;
    this.tools = tools;
    this.onSign = onSign;
  }

  /** Asks the holder if that is due. */
  void look() {
    if (!asking && due()) {
      Optional<String> address = addressOfHolder();
      asking = address.isPresent();
      address.ifPresent(known -> ask(known, replica.table().termNumber(), QUESTIONS));
    }
  }

  /** Returns whether the holder has to be asked now. */
  boolean due() {
    return rule.mayQueryHolder(replica.table().term(), tools.clock().nowMs());
  }

  private Optional<String> addressOfHolder() {
    return replica
        .table()
        .term()
        .map(LogContent.Term::holder)
        .map(replica.table().hosts()::get)
        .map(LogContent.Host::address);
  }

  private void ask(String address, long term, int questionsLeft) {
    LoopCallbacks.whenDone(
        port.actsOn(address, term),
        tools.loop(),
        (acts, failure) -> {
          boolean outdated = !due() || replica.table().termNumber() != term;
          if (outdated) {
            asking = false;
          } else if (failure != null && questionsLeft > 1) {
            ask(address, term, questionsLeft - 1);
          } else {
            answered(term, failure == null ? signOf(acts) : HolderStatus.SILENT);
          }
        });
  }

  private static HolderStatus signOf(boolean acts) {
    return acts ? HolderStatus.ACTING : HolderStatus.RESIGNED;
  }

  private void answered(long term, HolderStatus sign) {
    asking = false;
    if (sign != rule.holderStatus()) {
      tools.decisions().note("holder-asked", field("term", term), field("sign", sign));
    }
    rule.onHolderQueried(sign);
    onSign.run();
  }
}
