package org.wheatwall.entry.batch;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.wheatwall.core.batch.model.LogContent;

/**
 * Hands the term over if this host reaches few workers: to a host that reaches more, or to any host
 * if no other host responds.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class ReachabilityHandOver {
  private final ReachabilitySurvey survey;
  private final Supplier<Map<String, LogContent.Host>> hosts;
  private final BatchContext context;
  private final HeldTerm term;
  private final HandOverLimit limit = new HandOverLimit();

  /** The term that this host holds. */
  interface HeldTerm {
    /** Returns whether a decider decides under the term, which is not being released. */
    boolean isDecidedBy(BatchDecider decider);

    /** Returns whether the term was not won a short time ago after another host released it. */
    boolean mayBeReleasedToAnyHost();

    /**
     * Releases the term.
     *
     * @param successor name of the host that shall claim it; empty if any host may
     */
    void handOver(BatchDecider decider, Optional<String> successor);
  }

  /**
   * Creates an instance for a host.
   *
   * @param hosts returns the registered hosts by name
   */
  ReachabilityHandOver(
      ReachabilitySurvey survey,
      Supplier<Map<String, LogContent.Host>> hosts,
      BatchContext context,
      HeldTerm term) {
    this.survey = survey;
    this.hosts = hosts;
    this.context = context;
    this.term = term;
  }

  /** Records that a term that was released for a chosen successor was read in the job log. */
  void onHandOverRead() {
    limit.record(context.clock().nowMs());
  }

  /** Asks other hosts which workers they reach, if the decider reaches few and that is due. */
  void tick(BatchDecider decider) {
    if (!isNeeded(decider)) {
      survey.onNotNeeded();
    } else if (survey.isDue()) {
      survey.start(
          decider.supervisor().listedWorkers(),
          hosts.get(),
          result -> handOverIfUseful(decider, result));
    }
  }

  private boolean isNeeded(BatchDecider decider) {
    return term.isDecidedBy(decider) && decider.supervisor().isReachabilitySurveyNeeded();
  }

  private void handOverIfUseful(BatchDecider decider, ReachabilitySurvey.Result result) {
    if (!isNeeded(decider)) {
      return;
    }
    boolean chosen = result.successor().isPresent() && limit.allows(context.clock().nowMs());
    if (chosen || isReleaseUseful(decider, result)) {
      term.handOver(decider, chosen ? result.successor() : Optional.empty());
    }
  }

  // A host that reaches neither workers nor other hosts cannot know who does better.
  private boolean isReleaseUseful(BatchDecider decider, ReachabilitySurvey.Result result) {
    return result.responses() == 0
        && term.mayBeReleasedToAnyHost()
        && decider.supervisor().isReleaseDue();
  }
}
