package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.job.model.WaitReason;

/**
 * Tracks how long groups of tasks have had nothing running and logs those for which this lasts
 * long, with the reason and the number of other groups that wait for the same reason. A wait goes
 * on while runs of a group are planned, ordered and abandoned; it ends once a worker has confirmed
 * a task. The number of log lines is limited: the interval between two lines for a group grows, and
 * each scan logs at most one group per job and {@value #MAX_GROUPS_LOGGED_PER_SCAN} groups in
 * total.
 */
final class WaitTracker {
  private static final int SCAN_INTERVAL_MS = 1000;
  private static final int LONG_WAIT_MS = 3000;
  private static final int MAX_GROUPS_LOGGED_PER_SCAN = 5;
  private static final double PERCENT = 100;
  // Kind of the reason of a group that is not in the scheduler's queue any more.
  private static final String RUN_NOT_STARTED = "RUN_NOT_STARTED";

  private final TermState term;
  private final Map<String, Wait> waits = new HashMap<>();
  private WaitSummary summary = WaitSummary.NONE;
  private long lastScanAtMs = Long.MIN_VALUE / 2;

  private record Reason(String kind, String detail) {}

  /** When a group started to wait, and the wait time after which it is logged next. */
  private static final class Wait {
    private final long sinceMs;
    private long logAfterMs = LONG_WAIT_MS;

    private Wait(long sinceMs) {
      this.sinceMs = sinceMs;
    }
  }

  WaitTracker(TermState term) {
    this.term = term;
  }

  /** Records that a group waits in the queue, unless it has waited since before its last run. */
  void startWait(GroupKey group) {
    waits.putIfAbsent(group.text(), new Wait(term.nowMs));
  }

  /** Records that a task of a group runs. */
  void endWait(GroupKey group) {
    waits.remove(group.text());
  }

  /** Returns how long a group has waited, milliseconds; 0 if it is not waiting. */
  long waitedMs(GroupKey group) {
    Wait wait = waits.get(group.text());
    return wait == null ? 0 : term.nowMs - wait.sinceMs;
  }

  /** Returns the result of the last scan. */
  WaitSummary summary() {
    return summary;
  }

  /** Scans the waiting groups once per interval and logs those that have waited for long. */
  void tick() {
    if (term.nowMs - lastScanAtMs < SCAN_INTERVAL_MS) {
      return;
    }
    lastScanAtMs = term.nowMs;
    waits.keySet().removeIf(name -> !term.scheduler.isWaiting(name) && !hasPendingRun(name));
    summary = summarize();
    logLongestWaits();
  }

  private boolean hasPendingRun(String name) {
    return runOf(name).filter(run -> !run.hasConfirmedTask()).isPresent();
  }

  private Optional<GroupRun> runOf(String name) {
    return term.runs.ofGroup(GroupKey.parse(name).orElseThrow());
  }

  private WaitSummary summarize() {
    long longestMs = 0;
    int queued = 0;
    for (Map.Entry<String, Wait> entry : waits.entrySet()) {
      if (term.scheduler.isWaiting(entry.getKey())) {
        queued++;
        longestMs = Math.max(longestMs, term.nowMs - entry.getValue().sinceMs);
      }
    }
    int listed = 0;
    int usable = 0;
    for (WorkerRecord record : term.workers.records()) {
      listed += record.listed() ? 1 : 0;
      usable += record.usable() ? 1 : 0;
    }
    return new WaitSummary(queued, longestMs, usable, listed);
  }

  private void logLongestWaits() {
    List<Map.Entry<String, Wait>> due = new ArrayList<>();
    for (Map.Entry<String, Wait> entry : waits.entrySet()) {
      if (term.nowMs - entry.getValue().sinceMs >= entry.getValue().logAfterMs) {
        due.add(entry);
      }
    }
    if (due.isEmpty()) {
      return;
    }
    due.sort(Comparator.comparingLong(entry -> entry.getValue().sinceMs));
    Map<String, Integer> counts = countByKind();
    String workers = workersByState();
    Set<String> loggedJobs = new HashSet<>();
    for (Map.Entry<String, Wait> entry : due) {
      if (loggedJobs.size() >= MAX_GROUPS_LOGGED_PER_SCAN) {
        return;
      }
      GroupKey group = GroupKey.parse(entry.getKey()).orElseThrow();
      if (loggedJobs.add(group.jobId())) {
        logWait(group, entry.getValue(), counts, workers);
      }
    }
  }

  private Map<String, Integer> countByKind() {
    Map<String, Integer> counts = new HashMap<>();
    for (String name : waits.keySet()) {
      kindOf(name).ifPresent(kind -> counts.merge(kind, 1, Integer::sum));
    }
    return counts;
  }

  private Optional<String> kindOf(String name) {
    return runOf(name).isPresent()
        ? Optional.of(RUN_NOT_STARTED)
        : term.scheduler.reasonKind(name).map(WaitReason.Kind::toString);
  }

  private Reason reasonOf(String name) {
    return runOf(name)
        .map(run -> new Reason(RUN_NOT_STARTED, run.describeProgress(this::describeSilence)))
        .or(() -> term.scheduler.reason(name).map(WaitTracker::toReason))
        .orElse(new Reason(WaitReason.Kind.QUEUED.toString(), "not looked at"));
  }

  private String describeSilence(String worker) {
    WorkerRecord record = term.workers.getOrCreate(worker);
    if (record.usable()) {
      return "";
    }
    String heard =
        record.lastResponseMs() < 0
            ? "not heard in this term"
            : "heard " + (term.nowMs - record.lastResponseMs()) + " ms ago";
    String givenUp =
        record.givenUpAtMs(term.settings.leaseExpiryMs()).stream()
            .mapToObj(atMs -> ", given up in " + Math.max(0, atMs - term.nowMs) + " ms")
            .findFirst()
            .orElse("");
    return " (" + record.state().text() + ", " + heard + givenUp + ")";
  }

  private static Reason toReason(WaitReason reason) {
    return new Reason(reason.kind().toString(), reason.detail());
  }

  private void logWait(GroupKey group, Wait wait, Map<String, Integer> counts, String workers) {
    long waitedMs = term.nowMs - wait.sinceMs;
    wait.logAfterMs = 2 * waitedMs;
    Reason reason = reasonOf(group.text());
    int others = Math.max(0, counts.getOrDefault(reason.kind(), 1) - 1);
    String permits =
        Optional.ofNullable(term.jobs.get(group.jobId()))
            .flatMap(progress -> term.permits.explain(progress.job(), group))
            .map(text -> ", " + text)
            .orElse("");
    term.logEvent(
        RunEvent.Kind.GROUP_WAITS,
        group.jobId(),
        group.text(),
        "for "
            + waitedMs
            + " ms: "
            + reason.kind()
            + ", "
            + reason.detail()
            + permits
            + (term.evacuationsKnown ? "" : ", nothing starts: the evacuated zones are not known")
            + "; "
            + others
            + " of "
            + waits.size()
            + " groups wait for the same; "
            + workers
            + "; "
            + capacityInUse());
  }

  private String capacityInUse() {
    return String.format(
        Locale.ROOT,
        "%.1f%% of the capacity counts as in use, %.1f%% is held at workers that are not heard",
        PERCENT * term.scheduler.shareInUse(),
        PERCENT * term.scheduler.shareHeldUnheard());
  }

  private String workersByState() {
    Map<WorkerState, Integer> counts = new EnumMap<>(WorkerState.class);
    for (WorkerRecord record : term.workers.records()) {
      counts.merge(record.state(), 1, Integer::sum);
    }
    return "workers "
        + counts.entrySet().stream()
            .map(entry -> entry.getValue() + " " + entry.getKey().text())
            .collect(Collectors.joining(", "));
  }
}
