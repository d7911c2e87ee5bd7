package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/**
 * A chart of workers against time as SVG: each run a bar coloured by how it ended, the times
 * without a decider as bands over all workers.
 */
final class RunChart {
  private static final int ROW = 8;
  private static final int PIXELS_PER_SECOND = 14;
  private static final int LEFT = 110;
  private static final int TOP = 24;
  private static final long TICK_MS = 5000;
  private static final String DONE = "#7fb77e";
  private static final String STOPPED = "#e0a030";
  private static final String FAILED = "#c0392b";
  private static final String UNDER_WAY = "#9aa7b1";

  private final Account account;
  private final List<String> workers;
  private final long fromMs;
  private final long toMs;

  RunChart(Account account) {
    this.account = account;
    TreeSet<String> names = new TreeSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (GroupStory.Run run : runs()) {
      names.addAll(run.workers());
      first = Math.min(first, run.startMs());
      last = Math.max(last, run.ended() ? run.endMs() : run.startMs());
    }
    workers = new ArrayList<>(names);
    fromMs = workers.isEmpty() ? 0 : first;
    toMs = workers.isEmpty() ? 0 : last;
  }

  private List<GroupStory.Run> runs() {
    List<GroupStory.Run> runs = new ArrayList<>();
    account.jobs().forEach(job -> job.groups().forEach(group -> runs.addAll(group.runs())));
    return runs;
  }

  /** Returns the lines of an SVG document. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"7\">",
            x(toMs) + 20, TOP + ROW * workers.size() + 20));
    lines.add("<text x=\"4\" y=\"10\">workers by time: done, stopped, failed, no decider</text>");
    for (Spans.Span gap : account.gaps().withoutDecider().all()) {
      lines.add(bar(gap.fromMs(), gap.toMs(), TOP, ROW * workers.size(), "#e6d5ea"));
    }
    for (int i = 0; i < workers.size(); i++) {
      lines.add(
          String.format("<text x=\"4\" y=\"%d\">%s</text>", TOP + ROW * i + 7, workers.get(i)));
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

  private void addRun(List<String> lines, GroupStory.Run run) {
    for (String worker : new TreeSet<>(run.workers())) {
      int top = TOP + ROW * workers.indexOf(worker);
      long endMs = run.ended() ? run.endMs() : toMs;
      lines.add(bar(run.startMs(), endMs, top + 1, ROW - 2, colour(run)));
    }
  }

  private static String colour(GroupStory.Run run) {
    if (!run.ended()) {
      return UNDER_WAY;
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
    return LEFT + (atMs - fromMs) * PIXELS_PER_SECOND / 1000.0;
  }
}
