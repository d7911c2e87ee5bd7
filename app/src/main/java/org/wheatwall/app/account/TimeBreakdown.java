package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Breaks down the time of all jobs of a run by queue and category. */
final class TimeBreakdown {
  private static final int PERCENT = 100;

  private final Map<String, JobHistory> jobs = new LinkedHashMap<>();
  private final DeciderGaps gaps;

  /** Collects the history of all jobs from the log lines of all hosts, oldest first. */
  TimeBreakdown(List<LogLine> lines) {
    gaps = new DeciderGaps(lines);
    for (LogLine line : lines) {
      if (line.event().equals("job-accepted")) {
        jobs.putIfAbsent(line.field("job"), new JobHistory(line));
      }
    }
    for (LogLine line : lines) {
      JobHistory job = jobs.get(line.field("job"));
      if (job != null) {
        job.apply(line);
      }
    }
  }

  Collection<JobHistory> jobs() {
    return jobs.values();
  }

  DeciderGaps gaps() {
    return gaps;
  }

  /** Returns a table: for each queue the jobs, how many were late, and each category's share. */
  List<String> table() {
    List<String> rows = new ArrayList<>();
    StringBuilder header =
        new StringBuilder(String.format("%-14s %5s %5s %9s", "queue", "done", "late", "mean ms"));
    for (TimeCategory category : TimeCategory.values()) {
      header.append(String.format(" %15s", category.label()));
    }
    rows.add(header.toString());
    byQueue().forEach((queue, histories) -> rows.add(row(queue, histories)));
    return rows;
  }

  private Map<String, List<JobHistory>> byQueue() {
    Map<String, List<JobHistory>> queues = new TreeMap<>();
    for (JobHistory job : jobs.values()) {
      if (job.succeeded()) {
        queues.computeIfAbsent(job.queue(), name -> new ArrayList<>()).add(job);
      }
    }
    return queues;
  }

  private String row(String queue, List<JobHistory> histories) {
    Map<TimeCategory, Long> sum = new EnumMap<>(TimeCategory.class);
    long total = 0;
    long late = 0;
    for (JobHistory job : histories) {
      job.timeByCategory(gaps).forEach((category, ms) -> sum.merge(category, ms, Long::sum));
      total += job.tookMs().orElse(0);
      late += job.isLate() ? 1 : 0;
    }
    StringBuilder row =
        new StringBuilder(
            String.format(
                "%-14s %5d %5d %9d", queue, histories.size(), late, total / histories.size()));
    for (TimeCategory category : TimeCategory.values()) {
      double share = (double) sum.getOrDefault(category, 0L) * PERCENT / Math.max(1, total);
      row.append(String.format(Locale.ROOT, " %14.1f%%", share));
    }
    return row.toString();
  }

  /** Returns for each reason the number of runs without success and their run time in seconds. */
  List<String> stops() {
    Map<String, long[]> reasons = new TreeMap<>();
    for (JobHistory job : jobs.values()) {
      for (GroupHistory group : job.groups()) {
        for (GroupHistory.Run run : group.runs()) {
          if (!run.done() && run.ended()) {
            long[] counts = reasons.computeIfAbsent(kindOf(run), reason -> new long[2]);
            counts[0]++;
            counts[1] += run.stoppingMs() - run.startMs();
          }
        }
      }
    }
    List<String> rows = new ArrayList<>();
    rows.add(String.format("%-40s %6s %10s", "runs that did not get done", "runs", "ran s"));
    reasons.forEach(
        (reason, counts) ->
            rows.add(
                String.format(
                    Locale.ROOT, "%-40s %6d %10.1f", reason, counts[0], counts[1] / 1000.0)));
    return rows;
  }

  private static String kindOf(GroupHistory.Run run) {
    String reason = run.stopReason();
    if (reason.startsWith("reclaimed for")) {
      return "reclaimed for another job";
    }
    if (reason.startsWith("no answer from")) {
      return "no answer from a worker";
    }
    return reason.isEmpty() ? "failed, or its worker is gone" : reason;
  }

  /** Returns a header and one line per job, as comma-separated values. */
  List<String> csv() {
    List<String> rows = new ArrayList<>();
    StringBuilder header = new StringBuilder("job,queue,arrived_ms,outcome,took_ms,objective_ms");
    for (TimeCategory category : TimeCategory.values()) {
      header.append(',').append(category.label()).append("_ms");
    }
    rows.add(header.toString());
    for (JobHistory job : jobs.values()) {
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
      Map<TimeCategory, Long> timeByCategory = job.timeByCategory(gaps);
      for (TimeCategory category : TimeCategory.values()) {
        row.append(',').append(timeByCategory.getOrDefault(category, 0L));
      }
      rows.add(row.toString());
    }
    return rows;
  }
}
