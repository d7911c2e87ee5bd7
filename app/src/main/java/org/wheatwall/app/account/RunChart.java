package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/**
 * An SVG chart of workers over time: each run is a bar coloured by its outcome, and each time
 * without a decider is a band across all workers.
 */
final class RunChart {
  private static final int ROW_PIXELS = 8;
  private static final int PIXELS_PER_SECOND = 14;
  private static final int LEFT_PIXELS = 110;
  private static final int TOP_PIXELS = 24;
  private static final long TICK_MS = 5000;
  private static final String DONE = "#7fb77e";
  private static final String STOPPED = "#e0a030";
  private static final String FAILED = "#c0392b";
  private static final String RUNNING = "#9aa7b1";

  private final TimeBreakdown breakdown;
  private final List<String> workers;
  private final long fromMs;
  private final long toMs;

  RunChart(TimeBreakdown breakdown) {
    this.breakdown = breakdown;
    TreeSet<String> names = new TreeSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (GroupHistory.Run run : runs()) {
      names.addAll(run.workers());
      first = Math.min(first, run.startMs());
      last = Math.max(last, run.ended() ? run.endMs() : run.startMs());
    }
    workers = new ArrayList<>(names);
    fromMs = workers.isEmpty() ? 0 : first;
    toMs = workers.isEmpty() ? 0 : last;
  }

  private List<GroupHistory.Run> runs() {
    List<GroupHistory.Run> runs = new ArrayList<>();
    breakdown.jobs().forEach(job -> job.groups().forEach(group -> runs.addAll(group.runs())));
    return runs;
  }

  /** Returns the lines of an SVG document. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"7\">",
            x(toMs) + 20, TOP_PIXELS + ROW_PIXELS * workers.size() + 20));
    lines.add("<text x=\"4\" y=\"10\">workers by time: done, stopped, failed, no decider</text>");
    for (Spans.Span gap : breakdown.gaps().withoutDecider().all()) {
      lines.add(bar(gap.fromMs(), gap.toMs(), TOP_PIXELS, ROW_PIXELS * workers.size(), "#e6d5ea"));
    }
    for (int i = 0; i < workers.size(); i++) {
      lines.add(
          String.format(
              "<text x=\"4\" y=\"%d\">%s</text>", TOP_PIXELS + ROW_PIXELS * i + 7, workers.get(i)));
    }
    for (long tick = fromMs; tick <= toMs; tick += TICK_MS) {
      lines.add(
          String.format(
              Locale.ROOT,
              "<text x=\"%.0f\" y=\"20\">%d s</text>",
              x(tick),
              (tick - fromMs) / 1000));
    }
    runs().forEach(run -> addRun(lines, run));
    lines.add("</svg>");
    return lines;
  }

  private void addRun(List<String> lines, GroupHistory.Run run) {
    for (String worker : new TreeSet<>(run.workers())) {
      int top = TOP_PIXELS + ROW_PIXELS * workers.indexOf(worker);
      long endMs = run.ended() ? run.endMs() : toMs;
      lines.add(bar(run.startMs(), endMs, top + 1, ROW_PIXELS - 2, colour(run)));
    }
  }

  private static String colour(GroupHistory.Run run) {
    if (!run.ended()) {
      return RUNNING;
    }
    if (run.done()) {
      return DONE;
    }
    return run.stopReason().startsWith("reclaimed") ? STOPPED : FAILED;
  }

  private String bar(long from, long to, int top, int height, String colour) {
    return String.format(
        Locale.ROOT,
        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\" fill-opacity=\"0.6\"/>",
        x(from),
        top,
        Math.max(1, x(to) - x(from)),
        height,
        colour);
  }

  private double x(long atMs) {
    return LEFT_PIXELS + (atMs - fromMs) * PIXELS_PER_SECOND / 1000.0;
  }
}
