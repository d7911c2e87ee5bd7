package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What the time of all jobs of a run went into, by queue and cause. */
final class Account {
  private static final int PERCENT = 100;

  private final Map<String, JobStory> jobs = new LinkedHashMap<>();
  private final DeciderGaps gaps;

  /** Puts the stories of all jobs together from all hosts' lines, oldest first. */
  Account(List<LogLine> lines) {
    gaps = new DeciderGaps(lines);
    for (LogLine line : lines) {
      if (line.event().equals("job-accepted")) {
        jobs.putIfAbsent(line.field("job"), new JobStory(line));
      }
    }
    for (LogLine line : lines) {
      JobStory job = jobs.get(line.field("job"));
      if (job != null) {
        job.take(line);
      }
    }
  }

  Collection<JobStory> jobs() {
    return jobs.values();
  }

  DeciderGaps gaps() {
    return gaps;
  }

  /** Returns a table: for each queue the jobs, how many were late, and the share of each cause. */
  List<String> table() {
    List<String> rows = new ArrayList<>();
    StringBuilder head =
        new StringBuilder(String.format("%-14s %5s %5s %9s", "queue", "done", "late", "mean ms"));
    for (TimeUse use : TimeUse.values()) {
      head.append(String.format(" %15s", use.label()));
    }
    rows.add(head.toString());
    byQueue().forEach((queue, stories) -> rows.add(row(queue, stories)));
    return rows;
  }

  private Map<String, List<JobStory>> byQueue() {
    Map<String, List<JobStory>> queues = new TreeMap<>();
    for (JobStory job : jobs.values()) {
      if (job.succeeded()) {
        queues.computeIfAbsent(job.queue(), name -> new ArrayList<>()).add(job);
      }
    }
    return queues;
  }

  private String row(String queue, List<JobStory> stories) {
    Map<TimeUse, Long> sum = new EnumMap<>(TimeUse.class);
    long total = 0;
    long late = 0;
    for (JobStory job : stories) {
      job.uses(gaps).forEach((use, ms) -> sum.merge(use, ms, Long::sum));
      total += job.tookMs().orElse(0);
      late += job.late() ? 1 : 0;
    }
    StringBuilder row =
        new StringBuilder(
            String.format(
                "%-14s %5d %5d %9d", queue, stories.size(), late, total / stories.size()));
    for (TimeUse use : TimeUse.values()) {
      double share = (double) sum.getOrDefault(use, 0L) * PERCENT / Math.max(1, total);
      row.append(String.format(Locale.ROOT, " %14.1f%%", share));
    }
    return row.toString();
  }

  /** Returns for each reason how many runs were stopped and how long they had run, seconds. */
  List<String> stops() {
    Map<String, long[]> reasons = new TreeMap<>();
    for (JobStory job : jobs.values()) {
      for (GroupStory group : job.groups()) {
        for (GroupStory.Run run : group.runs()) {
          if (!run.done() && run.ended()) {
            long[] counted = reasons.computeIfAbsent(kindOf(run), reason -> new long[2]);
            counted[0]++;
            counted[1] += run.stoppingMs() - run.startMs();
          }
        }
      }
    }
    List<String> rows = new ArrayList<>();
    rows.add(String.format("%-40s %6s %10s", "runs that did not get done", "runs", "ran s"));
    reasons.forEach(
        (reason, counted) ->
            rows.add(
                String.format(
                    Locale.ROOT, "%-40s %6d %10.1f", reason, counted[0], counted[1] / 1000.0)));
    return rows;
  }

  private static String kindOf(GroupStory.Run run) {
    String reason = run.stopReason();
    if (reason.startsWith("reclaimed for")) {
      return "reclaimed for another job";
    }
    if (reason.startsWith("no answer from")) {
      return "no answer from a worker";
    }
    return reason.isEmpty() ? "failed, or its worker is gone" : reason;
  }

  /** Returns a line a job, with a heading, as comma-separated values. */
  List<String> csv() {
    List<String> rows = new ArrayList<>();
    StringBuilder head = new StringBuilder("job,queue,arrived_ms,outcome,took_ms,objective_ms");
    for (TimeUse use : TimeUse.values()) {
      head.append(',').append(use.label()).append("_ms");
    }
    rows.add(head.toString());
    for (JobStory job : jobs.values()) {
      StringBuilder row =
          new StringBuilder(job.id())
              .append(',')
              .append(job.queue())
              .append(',')
              .append(job.arrivedMs())
              .append(',')
              .append(job.outcome())
              .append(',')
              .append(job.tookMs().isPresent() ? job.tookMs().getAsLong() : "")
              .append(',')
              .append(job.objectiveMs());
      Map<TimeUse, Long> uses = job.uses(gaps);
      for (TimeUse use : TimeUse.values()) {
        row.append(',').append(uses.getOrDefault(use, 0L));
      }
      rows.add(row.toString());
    }
    return rows;
  }
}
