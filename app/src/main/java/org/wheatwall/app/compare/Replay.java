package org.wheatwall.app.compare;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * Feeds the arrivals and ends of one stream to the real scheduler under one policy, in simulated
 * time. Network, failures and host behaviour are not modelled.
 */
final class Replay {
  private static final String ZONE = "zone-1";
  private static final long MIN_SLOWDOWN_RUN_MS = 10_000;

  private final Scheduler scheduler;
  private final Map<String, StreamJob> jobs = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final Map<String, Long> startedMs = new HashMap<>();
  private final List<Double> completions = new ArrayList<>();
  private final Histogram decisionNs = new Histogram(60_000_000_000L, 3);
  private double slowdownSum;
  private double largeWaitSum;
  private double maxLargeWait;
  private int largeStarted;
  private int neverFits;
  private int breaches;
  private double fragmentationTime;
  private long observedMs;
  private long lastMs;
  private long order;

  private enum Kind {
    ARRIVAL,
    END,
    CANCEL
  }

  private record Event(long atMs, long order, Kind kind, String name) {}

  /** Creates a replay over an empty zone. */
  Replay(StreamSpec spec, PolicySpec policy, int starvationBoundMs) {
    scheduler = new Scheduler(new SchedulerSettings(starvationBoundMs, 500, 64));
    ResourceAmount host =
        new ResourceAmount(4 * spec.acceleratorsPerHost(), 1 << 20, spec.acceleratorsPerHost());
    for (int i = 0; i < spec.hosts(); i++) {
      String rack = "rack-" + i / spec.hostsPerRack();
      scheduler.cluster().add(new WorkerHost("worker-" + i, ZONE, rack, host));
    }
    scheduler.setPolicies(Map.of("candidate", policy));
    ResourceAmount oneHost = new ResourceAmount(1, 1, spec.acceleratorsPerHost());
    scheduler.setShapes(
        Map.of(
            "guaranteed",
            new GuaranteedShape(
                Labels.NONE, "workspace-0", ZONE, 2, oneHost, Adjacency.SAME_RACK, 1)));
  }

  /** Runs the complete stream and returns its result. */
  ReplayResult run(List<StreamJob> stream) {
    for (StreamJob job : stream) {
      jobs.put(job.name(), job);
      push(job.arrivalMs(), Kind.ARRIVAL, job.name());
      if (job.cancelMs() >= 0) {
        push(job.cancelMs(), Kind.CANCEL, job.name());
      }
    }
    while (!events.isEmpty()) {
      long nowMs = events.peek().atMs();
      accumulateFragmentation(nowMs);
      while (!events.isEmpty() && events.peek().atMs() == nowMs) {
        handle(events.remove());
      }
      decide(nowMs);
    }
    return result();
  }

  private void handle(Event event) {
    switch (event.kind()) {
      case ARRIVAL -> {
        StreamJob job = jobs.get(event.name());
        scheduler.submit(job.name(), job.job(), event.atMs());
      }
      case CANCEL ->
          scheduler
              .withdraw(event.name())
              .ifPresent(id -> scheduler.attemptEnded(id, EndReason.INTERRUPTED, event.atMs()));
      case END -> endAttempt(event);
    }
  }

  // An end event carries the attempt's name, so the end of a stopped attempt is ignored.
  private void endAttempt(Event event) {
    scheduler.running().stream()
        .filter(attempt -> attempt.attemptId().equals(event.name()))
        .findFirst()
        .ifPresent(
            attempt -> {
              StreamJob job = jobs.get(attempt.jobName());
              double completionMs = event.atMs() - job.arrivalMs();
              completions.add(completionMs / 1000);
              slowdownSum +=
                  Math.max(1, completionMs / Math.max(MIN_SLOWDOWN_RUN_MS, job.runTimeMs()));
              scheduler.attemptEnded(attempt.attemptId(), EndReason.SUCCEEDED, event.atMs());
            });
  }

  private void decide(long nowMs) {
    long startNs = System.nanoTime();
    List<Decision> decisions = scheduler.decide(nowMs);
    decisionNs.recordValue(System.nanoTime() - startNs);
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Stop stop) {
        String name = jobOf(stop.attemptId());
        scheduler.attemptEnded(stop.attemptId(), EndReason.INTERRUPTED, nowMs);
        scheduler.submit(name, jobs.get(name).job(), jobs.get(name).arrivalMs());
      } else if (decision instanceof Decision.Start start) {
        recordStart(start, nowMs);
      }
    }
    breaches += scheduler.brokenGuarantees().isEmpty() ? 0 : 1;
  }

  private String jobOf(String attemptId) {
    return scheduler.running().stream()
        .filter(attempt -> attempt.attemptId().equals(attemptId))
        .findFirst()
        .orElseThrow()
        .jobName();
  }

  private void recordStart(Decision.Start start, long nowMs) {
    StreamJob job = jobs.get(start.jobName());
    boolean firstStart = startedMs.put(job.name(), nowMs) == null;
    if (firstStart && job.job().adjacency() == Adjacency.SAME_RACK) {
      double waitSeconds = (nowMs - job.arrivalMs()) / 1000.0;
      largeWaitSum += waitSeconds;
      maxLargeWait = Math.max(maxLargeWait, waitSeconds);
      largeStarted++;
    }
    push(nowMs + job.runTimeMs(), Kind.END, start.attemptId());
  }

  private void accumulateFragmentation(long nowMs) {
    long elapsedMs = nowMs - lastMs;
    fragmentationTime += scheduler.cluster().fragmentation() * elapsedMs;
    observedMs += elapsedMs;
    lastMs = nowMs;
  }

  private void push(long atMs, Kind kind, String name) {
    events.add(new Event(atMs, order++, kind, name));
  }

  private ReplayResult result() {
    Collections.sort(completions);
    neverFits =
        (int)
            scheduler.waiting().stream()
                .map(job -> scheduler.reason(job.name()))
                .filter(
                    reason -> reason.map(r -> r.kind() == WaitReason.Kind.NEVER_FITS).orElse(false))
                .count();
    int count = Math.max(1, completions.size());
    double sum = completions.stream().mapToDouble(Double::doubleValue).sum();
    return new ReplayResult(
        sum / count,
        percentile(0.5),
        percentile(0.99),
        slowdownSum / count,
        fragmentationTime / Math.max(1, observedMs),
        maxLargeWait,
        largeWaitSum / Math.max(1, largeStarted),
        completions.size(),
        neverFits,
        breaches,
        decisionNs.getValueAtPercentile(99) / 1000.0);
  }

  private double percentile(double share) {
    if (completions.isEmpty()) {
      return 0;
    }
    return completions.get((int) Math.min(completions.size() - 1, share * completions.size()));
  }
}
