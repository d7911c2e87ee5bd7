package org.wheatwall.app.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Works the measured slopes out at the users' target and sets them against the budget. */
final class CapacityReport {
  private static final double WORKERS = 17_000;
  private static final double TASKS = 77_000;
  private static final double ZONES = 13;
  private static final double HOSTS_PER_ZONE = 8;
  private static final double JOBS_PER_DAY = 13_000;
  private static final double CHANGES_PER_DAY = 15_000;
  private static final double DAY = 86_400;

  // Reserved, started, first use shown, ended, forgotten, and one more for a repeat.
  private static final double CHANGES_PER_PART = 6;
  private static final double JOB_RECORDS = 3;
  private static final double KEPT_JOB_HOURS = 5;
  private static final double HEARTBEATS_PER_SECOND = 4;
  private static final double WORKER_MESSAGES = 200;
  private static final double TCP_HEADERS = 66;
  private static final double CHUNK_OBJECTS = 200;
  private static final double SNAPSHOTS_PER_DAY = 3;
  private static final double CPU_BUDGET = 3.9;
  private static final double BYTES_BUDGET = 21_000;

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
    double objects = WORKERS + JOBS_PER_DAY / 24 * KEPT_JOB_HOURS + 400;
    double records = (CHANGES_PER_DAY + JOB_RECORDS * JOBS_PER_DAY) / DAY;
    double polls = records + 1;
    double cpu =
        records * slope("replay of a change")
            + polls * slope("worker exchange of 5 tasks, both ends") / 2;
    role(
        "configuration reader (" + Math.round(objects) + " objects)",
        objects * slope("configuration replica: a job object") / 1e6,
        polls,
        records * recordBytes + polls * 2 * (TCP_HEADERS + 160),
        cpu);
  }

  private void member() {
    double exchanges = HEARTBEATS_PER_SECOND * (HOSTS_PER_ZONE - 1) * 2;
    double bytes = exchanges * (MessageBench.heartbeatBytes() + 2 * (TCP_HEADERS + 4));
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
    Slope whole = slopes.get("worker exchange, both ways");
    Slope unchanged = slopes.get("worker exchange, nothing changed");
    double gang = TASKS / (JOBS_PER_DAY / 24 * KEPT_JOB_HOURS);
    double changed = JOBS_PER_DAY / ZONES / DAY * gang * CHANGES_PER_PART;
    double exchanges = Math.min(WORKER_MESSAGES, workers);
    double state =
        workers * slope("decider: a worker")
            + tasks * slope("decider: a running task")
            + JOBS_PER_DAY / ZONES / 24 * slope("decider: a waiting job");
    role(
        String.format("decider (%.0f workers, %.0f tasks)", workers, tasks),
        state / 1e6,
        exchanges,
        exchanges * (unchanged.fit().at(perWorker) + 2 * TCP_HEADERS)
            + changed * (whole.fit().at(perWorker) + 2 * TCP_HEADERS),
        (exchanges * slope("worker exchange, nothing changed, both ends")
                + changed * slope("worker exchange of 5 tasks, both ends"))
            / 2);
  }

  private void writer() {
    double objects = WORKERS + JOBS_PER_DAY / 24 * KEPT_JOB_HOURS + 400;
    double chunks = objects / CHUNK_OBJECTS * SNAPSHOTS_PER_DAY / DAY;
    role(
        "snapshot writer",
        objects * recordBytes / 1e6,
        chunks,
        chunks * CHUNK_OBJECTS * recordBytes,
        chunks * CHUNK_OBJECTS * slope("replay of a change"));
  }

  private void role(String name, double megabytes, double messages, double bytes, double micros) {
    double percent = micros / 1e4;
    boolean fits = percent <= CPU_BUDGET && bytes <= BYTES_BUDGET;
    lines.add(
        String.format(
            "| %s | %.2f | %.2f | %.1f | %.2f | %s |",
            name, megabytes, messages, bytes / 1000, percent, fits ? "yes" : "NO"));
  }

  private void log() {
    double changes = CHANGES_PER_DAY / DAY;
    double jobs = JOB_RECORDS * JOBS_PER_DAY / DAY;
    double objects = WORKERS + JOBS_PER_DAY / 24 * KEPT_JOB_HOURS + 400;
    double snapshots = objects / CHUNK_OBJECTS * SNAPSHOTS_PER_DAY / DAY;
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
