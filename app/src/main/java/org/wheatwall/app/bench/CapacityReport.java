package org.wheatwall.app.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Extrapolates the measured slopes to the target size and compares them with the budget. */
final class CapacityReport {
  private static final double WORKERS = 17_000;
  private static final double TASKS = 77_000;
  private static final double ZONES = 13;
  private static final double HOSTS_PER_ZONE = 8;
  private static final double JOBS_PER_DAY = 13_000;
  private static final double CHANGES_PER_DAY = 15_000;
  private static final double SECONDS_PER_DAY = 86_400;

  // Reserved, started, first use reported, ended, removed, and one retry.
  private static final double CHANGES_PER_TASK = 6;
  private static final double RECORDS_PER_JOB = 3;
  private static final double JOB_RETENTION_HOURS = 5;
  private static final double HEARTBEATS_PER_SECOND = 4;
  private static final double MAX_EXCHANGES_PER_SECOND = 200;
  private static final double TCP_HEADER_BYTES = 66;
  private static final double OBJECTS_PER_CHUNK = 200;
  private static final double SNAPSHOTS_PER_DAY = 3;
  private static final double CPU_BUDGET_PERCENT = 3.9;
  private static final double BUDGET_BYTES_PER_SECOND = 21_000;

  private final Map<String, Slope> slopes = new TreeMap<>();
  private final List<String> lines = new ArrayList<>();
  private final int recordBytes;

  /**
   * Creates a report.
   *
   * @param recordBytes size of the log record of one change
   */
  CapacityReport(List<Slope> measured, int recordBytes) {
    this.recordBytes = recordBytes;
    measured.forEach(slope -> slopes.put(slope.name(), slope));
  }

  /** Returns the report in Markdown. */
  List<String> lines() {
    lines.add("## Slopes measured");
    lines.add("");
    lines.add("| cost | slope | standard error | a line? | measured (size: value) |");
    lines.add("| --- | --- | --- | --- | --- |");
    slopes.values().forEach(slope -> lines.add(slope.row()));
    lines.add("");
    lines.add("A log record of one change is " + recordBytes + " B.");
    lines.add("");
    lines.add("## Each role of one entry host at the target");
    lines.add("");
    lines.add("| role | state, MB | messages/s | KB/s | % of a core | fits 3.9% and 21 KB/s |");
    lines.add("| --- | --- | --- | --- | --- | --- |");
    reader();
    member();
    decider();
    writer();
    lines.add("");
    log();
    return lines;
  }

  private double slope(String name) {
    return slopes.get(name).fit().slope();
  }

  private void reader() {
    double objects = WORKERS + JOBS_PER_DAY / 24 * JOB_RETENTION_HOURS + 400;
    double records = (CHANGES_PER_DAY + RECORDS_PER_JOB * JOBS_PER_DAY) / SECONDS_PER_DAY;
    double polls = records + 1;
    double cpu =
        records * slope("replay of a change")
            + polls * slope("worker exchange of 5 tasks, both ends") / 2;
    role(
        "configuration reader (" + Math.round(objects) + " objects)",
        objects * slope("configuration replica: a job object") / 1e6,
        polls,
        records * recordBytes + polls * 2 * (TCP_HEADER_BYTES + 160),
        cpu);
  }

  private void member() {
    double exchanges = HEARTBEATS_PER_SECOND * (HOSTS_PER_ZONE - 1) * 2;
    double bytes = exchanges * (MessageBench.heartbeatBytes() + 2 * (TCP_HEADER_BYTES + 4));
    role(
        "member of a zone of 8",
        0.01,
        exchanges,
        bytes,
        exchanges * slope("heartbeat and reply, both ends") / 2);
  }

  private void decider() {
    double workers = WORKERS / ZONES;
    double tasks = TASKS / ZONES;
    double perWorker = tasks / workers;
    Slope complete = slopes.get("worker exchange, both ways");
    Slope unchanged = slopes.get("worker exchange, nothing changed");
    double tasksPerJob = TASKS / (JOBS_PER_DAY / 24 * JOB_RETENTION_HOURS);
    double changed = JOBS_PER_DAY / ZONES / SECONDS_PER_DAY * tasksPerJob * CHANGES_PER_TASK;
    double exchanges = Math.min(MAX_EXCHANGES_PER_SECOND, workers);
    double state =
        workers * slope("decider: a worker")
            + tasks * slope("decider: a running task")
            + JOBS_PER_DAY / ZONES / 24 * slope("decider: a waiting job");
    role(
        String.format("decider (%.0f workers, %.0f tasks)", workers, tasks),
        state / 1e6,
        exchanges,
        exchanges * (unchanged.fit().valueAt(perWorker) + 2 * TCP_HEADER_BYTES)
            + changed * (complete.fit().valueAt(perWorker) + 2 * TCP_HEADER_BYTES),
        (exchanges * slope("worker exchange, nothing changed, both ends")
                + changed * slope("worker exchange of 5 tasks, both ends"))
            / 2);
  }

  private void writer() {
    double objects = WORKERS + JOBS_PER_DAY / 24 * JOB_RETENTION_HOURS + 400;
    double chunks = objects / OBJECTS_PER_CHUNK * SNAPSHOTS_PER_DAY / SECONDS_PER_DAY;
    role(
        "snapshot writer",
        objects * recordBytes / 1e6,
        chunks,
        chunks * OBJECTS_PER_CHUNK * recordBytes,
        chunks * OBJECTS_PER_CHUNK * slope("replay of a change"));
  }

  private void role(String name, double megabytes, double messages, double bytes, double micros) {
    double percent = micros / 1e4;
    boolean fits = percent <= CPU_BUDGET_PERCENT && bytes <= BUDGET_BYTES_PER_SECOND;
    lines.add(
        String.format(
            "| %s | %.2f | %.2f | %.1f | %.2f | %s |",
            name, megabytes, messages, bytes / 1000, percent, fits ? "yes" : "NO"));
  }

  private void log() {
    double changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    double jobs = RECORDS_PER_JOB * JOBS_PER_DAY / SECONDS_PER_DAY;
    double objects = WORKERS + JOBS_PER_DAY / 24 * JOB_RETENTION_HOURS + 400;
    double snapshots = objects / OBJECTS_PER_CHUNK * SNAPSHOTS_PER_DAY / SECONDS_PER_DAY;
    lines.add("## Appends a second at the target, if nothing were batched");
    lines.add("");
    lines.add("| kind | ordinary day | worst hour (a tenth of the day) |");
    lines.add("| --- | --- | --- |");
    appends("configuration changes", changes);
    appends("job records (submit, end, removal)", jobs);
    appends("snapshot chunks", snapshots);
    appends("all", changes + jobs + snapshots);
  }

  private void appends(String kind, double perSecond) {
    lines.add(String.format("| %s | %.3f | %.2f |", kind, perSecond, perSecond * 2.4));
  }
}
