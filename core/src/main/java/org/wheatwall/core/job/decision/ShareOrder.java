package org.wheatwall.core.job.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Orders the waiting jobs of one pass so that workspaces get capacity by max-min fairness: of the
 * jobs with equal precedence and priority class, the next is the best one of the workspace with the
 * least dominant share, which then grows by the demand of that job.
 *
 * <p>Urgent jobs compete for what urgent work holds, since they may preempt other work; so other
 * work of their workspace does not count against them.
 *
 * <p>Takes O(n log n) for n waiting jobs.
 */
final class ShareOrder {
  private static final Comparator<RankedJob> BY_RANK =
      Comparator.comparingDouble(RankedJob::rank).thenComparing(ranked -> ranked.job().name());

  // By the policy's rank, shorter jobs that keep coming could pass over a late one forever.
  private static final Comparator<RankedJob> BY_AGE =
      Comparator.comparingLong((RankedJob ranked) -> ranked.job().submittedAtMs())
          .thenComparing(ranked -> ranked.job().name());

  private final SchedulerState state;
  private final WorkspaceDivision division;
  private final int starvationBoundMs;
  private final long nowMs;
  private final Map<String, Double> shares = new HashMap<>();
  private final Map<String, Double> urgentShares = new HashMap<>();
  private final Set<String> starved = new HashSet<>();

  /** Creates the order of a pass. */
  ShareOrder(SchedulerState state, WorkspaceDivision division, int starvationBoundMs, long nowMs) {
    this.state = state;
    this.division = division;
    this.starvationBoundMs = starvationBoundMs;
    this.nowMs = nowMs;
  }

  /** The jobs of one workspace with equal precedence. */
  private final class WorkspaceQueue implements Comparable<WorkspaceQueue> {
    private final String workspace;
    private final Deque<RankedJob> inTime = new ArrayDeque<>();
    private final Deque<RankedJob> late = new ArrayDeque<>();
    private final Deque<RankedJob> hopeless = new ArrayDeque<>();
    private final PriorityQueue<RankedJob> lateOrHopeless = new PriorityQueue<>(BY_AGE);
    private final Set<String> taken = new HashSet<>();
    private final boolean urgent;
    private double share;
    private double demanded;
    private int startsSinceTurn;

    private WorkspaceQueue(RankedJob first) {
      workspace = first.job().job().workspace();
      urgent = first.job().job().urgent();
      startsSinceTurn = division.turns().startsSinceTurn(first.job());
    }

    /** Adds a job whose rank is not lower than that of those added before. */
    private void add(RankedJob ranked) {
      Lateness.Level level = division.level(ranked.job(), nowMs);
      if (level == Lateness.Level.IN_TIME) {
        inTime.add(ranked);
      } else {
        (level == Lateness.Level.LATE ? late : hopeless).add(ranked);
        if (mayStart(ranked.job())) {
          lateOrHopeless.add(ranked);
        }
      }
    }

    @Override
    public int compareTo(WorkspaceQueue other) {
      boolean passedOver = isTurnOfPassedOver();
      if (passedOver != other.isTurnOfPassedOver()) {
        return passedOver ? -1 : 1;
      }
      if (passedOver) {
        return BY_AGE.compare(peek(), other.peek());
      }
      int byShare = Double.compare(share, other.share);
      return byShare == 0 ? BY_RANK.compare(peek(), other.peek()) : byShare;
    }

    private boolean isTurnOfLate() {
      return startsSinceTurn >= LateTurns.STARTS_PER_TURN - 1 && first(lateOrHopeless) != null;
    }

    // A job that needs much room gets it only while it stays first in the queue, which the order by
    // share alone does not ensure.
    private boolean isTurnOfPassedOver() {
      return isTurnOfLate() && division.lateness().isPassedOver(first(lateOrHopeless).job(), nowMs);
    }

    /** Returns the next job, null if there is none. */
    private RankedJob peek() {
      if (isTurnOfLate()) {
        return first(lateOrHopeless);
      }
      if (!inTime.isEmpty()) {
        return inTime.peek();
      }
      RankedJob nextLate = first(late);
      return nextLate == null ? first(hopeless) : nextLate;
    }

    private RankedJob poll() {
      if (!isTurnOfLate() && !inTime.isEmpty()) {
        startsSinceTurn++;
        return inTime.poll();
      }
      RankedJob next = peek();
      taken.add(next.job().name());
      startsSinceTurn = 0;
      return next;
    }

    private RankedJob first(Queue<RankedJob> jobs) {
      while (!jobs.isEmpty() && taken.contains(jobs.peek().job().name())) {
        jobs.poll();
      }
      return jobs.peek();
    }
  }

  /** Returns the jobs in order. */
  List<QueuedJob> sorted(List<RankedJob> jobs) {
    Set<String> workspaces = new HashSet<>();
    jobs.forEach(ranked -> workspaces.add(ranked.job().job().workspace()));
    division.beginPass(workspaces, nowMs);
    for (String workspace : workspaces) {
      shares.put(workspace, division.shares().ofAllWork(workspace));
      urgentShares.put(workspace, division.shares().ofUrgentWork(workspace));
    }
    jobs.sort(BY_RANK);
    markStarved(jobs);
    Map<Long, Map<String, WorkspaceQueue>> queues = new TreeMap<>();
    for (RankedJob ranked : jobs) {
      queues
          .computeIfAbsent(precedence(ranked), precedence -> new HashMap<>())
          .computeIfAbsent(ranked.job().job().workspace(), workspace -> new WorkspaceQueue(ranked))
          .add(ranked);
    }
    List<QueuedJob> ordered = new ArrayList<>(jobs.size());
    queues.values().forEach(byWorkspace -> divide(byWorkspace, ordered));
    return ordered;
  }

  /** Returns whether a job has waited so long that it goes before others and may preempt them. */
  boolean isStarved(String jobName) {
    return starved.contains(jobName);
  }

  // A workspace that floods the queue would otherwise precede all others after the starvation
  // bound, so only as many of its jobs count as starved as keep it within the equal share.
  private void markStarved(List<RankedJob> byRank) {
    double equalShare = division.shares().equalShare();
    Map<String, Double> planned = new HashMap<>(shares);
    for (RankedJob ranked : byRank) {
      QueuedJob queued = ranked.job();
      String workspace = queued.job().workspace();
      if (nowMs - queued.submittedAtMs() >= starvationBoundMs
          && planned.get(workspace) <= equalShare) {
        starved.add(queued.name());
        double demand = mayStart(queued) ? division.shares().demand(queued.job()) : 0;
        planned.merge(workspace, demand, Double::sum);
      }
    }
  }

  // Lower values go first. The priority class takes the lower half.
  private long precedence(RankedJob ranked) {
    QueuedJob queued = ranked.job();
    long precedence = queued.job().urgent() ? 0 : 1;
    precedence = 2 * precedence + (state.guarantees.covers(queued.job()) ? 0 : 1);
    precedence = 2 * precedence + (queued.job().shape().isPresent() ? 0 : 1);
    precedence = 2 * precedence + (starved.contains(queued.name()) ? 0 : 1);
    return (precedence << Integer.SIZE) + ranked.priorityClass();
  }

  private void divide(Map<String, WorkspaceQueue> byWorkspace, List<QueuedJob> ordered) {
    for (WorkspaceQueue queue : byWorkspace.values()) {
      queue.share = (queue.urgent ? urgentShares : shares).get(queue.workspace);
    }
    PriorityQueue<WorkspaceQueue> next = new PriorityQueue<>(byWorkspace.values());
    while (!next.isEmpty()) {
      WorkspaceQueue queue = next.poll();
      QueuedJob queued = queue.poll().job();
      ordered.add(queued);
      if (mayStart(queued)) {
        double demand = division.shares().demand(queued.job());
        queue.share += demand;
        queue.demanded += demand;
      }
      if (queue.peek() != null) {
        next.add(queue);
      }
    }
    for (WorkspaceQueue queue : byWorkspace.values()) {
      shares.merge(queue.workspace, queue.demanded, Double::sum);
      if (queue.urgent) {
        urgentShares.merge(queue.workspace, queue.demanded, Double::sum);
      }
    }
  }

  // What cannot start whatever is free takes nothing from the share of its workspace, and has no
  // turn before others.
  private boolean mayStart(QueuedJob queued) {
    WaitReason reason = state.reasons.get(queued.name());
    if (reason == null) {
      return true;
    }
    return switch (reason.kind()) {
      case NEVER_FITS, QUOTA, SHAPE_IN_USE, WAITING_FOR_LEASE -> false;
      default -> true;
    };
  }
}
