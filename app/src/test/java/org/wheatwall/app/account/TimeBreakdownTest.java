package org.wheatwall.app.account;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wheatwall.app.Main;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;

/** The time of a job is broken down by category, independent of file order and unreadable lines. */
final class TimeBreakdownTest {
  private static final String JOB = "00000000000000aa";
  private static final String GROUP = JOB + ".0.0";

  @TempDir Path folder;

  private final List<String> lines = new ArrayList<>();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private void line(long atMs, String event, String... fields) {
    StringBuilder pairs = new StringBuilder();
    for (int i = 0; i < fields.length; i += 2) {
      pairs.append(i == 0 ? "" : ",");
      pairs.append("{\"").append(fields[i]).append("\":\"").append(fields[i + 1]).append("\"}");
    }
    lines.add(
        "{\"timestamp\":"
            + atMs
            + ",\"kvpList\":["
            + pairs
            + "],\"formattedMessage\":\""
            + event
            + "\"}");
  }

  private void accepted(long atMs, long tookMs, long objectiveMs) {
    line(
        atMs,
        "job-accepted",
        "job",
        JOB,
        "queue",
        "live",
        "tookMs",
        String.valueOf(tookMs),
        "objectiveMs",
        String.valueOf(objectiveMs));
  }

  private void group(long atMs, String event, String reason) {
    line(atMs, event, "job", JOB, "subject", GROUP, "reason", reason, "term", "1");
  }

  private void ended(long atMs) {
    line(atMs, "JOB_ENDED", "job", JOB, "subject", "SUCCEEDED", "term", "1");
  }

  private Map<TimeCategory, Long> timeByCategory() {
    List<LogLine> read = new ArrayList<>();
    lines.forEach(text -> read.add(LogLine.parse(text, "host.log").orElseThrow()));
    read.sort(Comparator.comparingLong(LogLine::atMs));
    TimeBreakdown breakdown = new TimeBreakdown(read);
    JobHistory job = breakdown.jobs().iterator().next();
    Map<TimeCategory, Long> timeByCategory = job.timeByCategory(breakdown.gaps());
    timeByCategory.values().removeIf(ms -> ms == 0);
    return timeByCategory;
  }

  private int run(String... arguments) {
    List<String> all = new ArrayList<>(List.of("account"));
    all.addAll(List.of(arguments));
    return Main.run(all, new Console(new PrintStream(output), new PrintStream(errors)));
  }

  private Path file(String name, List<String> text) throws IOException {
    return Files.write(folder.resolve(name), text);
  }

  @Test
  void stoppedRunCostsItsRunTimeTheStopAndTheNextWait() {
    accepted(1000, 10, 0);
    group(1300, "GROUP_STARTED", "run 1 on a,b, expected 2500 ms");
    group(2000, "RUN_STOPPING", "reclaimed for job x");
    group(2400, "GROUP_INTERRUPTED", "run 1, 0 failed");
    group(2900, "GROUP_STARTED", "run 2 on a,c, expected 2500 ms");
    group(6000, "GROUP_DONE", "run 2");
    ended(6000);
    assertThat(timeByCategory())
        .containsExactly(
            TimeCategory.ACCEPTING,
            10L,
            TimeCategory.ROOM,
            800L,
            TimeCategory.LOST_RUN,
            700L,
            TimeCategory.STOPPING,
            400L,
            TimeCategory.RUNNING,
            2500L,
            TimeCategory.RUNNING_LONGER,
            600L);
  }

  // A decider that is killed between a run's end and its log line never logs that end.
  @Test
  void runWithoutLoggedEndCountsUntilTheNextStarts() {
    accepted(1000, 0, 0);
    group(1000, "GROUP_STARTED", "run 1 on a, expected 2000 ms");
    group(1800, "GROUP_STARTED", "run 2 on b, expected 2000 ms");
    group(3800, "GROUP_DONE", "run 2");
    ended(3800);
    assertThat(timeByCategory())
        .containsExactly(TimeCategory.LOST_RUN, 800L, TimeCategory.RUNNING, 2000L);
  }

  @Test
  void waitWithoutDeciderIsNotAWaitForCapacity() {
    line(500, "term-won", "term", "1");
    accepted(1000, 0, 0);
    line(1100, "WORKER_HEARD", "term", "1");
    line(3300, "term-won", "term", "9");
    line(3400, "FIRST_DECISION", "term", "9");
    group(3450, "GROUP_STARTED", "run 1 on a, expected 1000 ms");
    group(4450, "GROUP_DONE", "run 1");
    ended(4450);
    assertThat(timeByCategory())
        .containsExactly(
            TimeCategory.NO_DECIDER,
            2200L,
            TimeCategory.FIRST_REPORTS,
            100L,
            TimeCategory.ROOM,
            150L,
            TimeCategory.RUNNING,
            1000L);
  }

  @Test
  void endReportedRightAfterDeciderChangeHappenedBefore() {
    line(500, "term-won", "term", "1");
    accepted(1000, 0, 0);
    group(1000, "GROUP_STARTED", "run 1 on a, expected 2000 ms");
    line(2500, "WORKER_HEARD", "term", "1");
    line(4500, "term-won", "term", "9");
    group(4520, "GROUP_DONE", "run 1");
    ended(4520);
    assertThat(timeByCategory())
        .containsExactly(TimeCategory.NO_DECIDER, 2000L, TimeCategory.RUNNING, 1520L);
  }

  @Test
  void secondStepCountsFromTheEndOfTheFirst() {
    accepted(1000, 0, 0);
    for (int step = 0; step < 2; step++) {
      String subject = JOB + ".0." + step + ".0";
      long start = 1000 + step * 1500L;
      line(
          start,
          "GROUP_STARTED",
          "job",
          JOB,
          "subject",
          subject,
          "reason",
          "run 1 on a, expected 1000 ms");
      line(start + 1000, "GROUP_DONE", "job", JOB, "subject", subject, "reason", "run 1");
    }
    ended(3500);
    assertThat(timeByCategory())
        .containsExactly(TimeCategory.ROOM, 500L, TimeCategory.RUNNING, 2000L);
  }

  @Test
  void filesOfSeveralHostsAreMergedAndUnreadableLinesAreCounted() throws IOException {
    group(3000, "GROUP_DONE", "run 1");
    ended(3000);
    lines.add("{\"timestamp\":12,\"kvpList\":[");
    Path decider = file("decider.log", lines);
    lines.clear();
    accepted(1000, 0, 1000);
    String prefixed = "  12.5 host-1 " + lines.remove(0);
    lines.add(prefixed);
    lines.add("a line of something else");
    group(2000, "GROUP_STARTED", "run 1 on a, expected 1000 ms");
    Path other = file("other.log", lines);
    Path csv = folder.resolve("jobs.csv");
    Path chart = folder.resolve("runs.svg");
    int code =
        run(
            "--csv",
            csv.toString(),
            "--chart",
            chart.toString(),
            decider.toString(),
            other.toString());
    assertThat(code).isEqualTo(Verb.DONE);
    assertThat(output.toString(StandardCharsets.UTF_8)).containsMatch("live +1 +1 +2000");
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("1 lines could not be read");
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("decider.log:3");
    assertThat(Files.readAllLines(csv).get(1)).startsWith(JOB + ",live,1000,SUCCEEDED,2000,1000,");
    assertThat(Files.readString(chart)).contains("<rect");
  }

  @Test
  void missingFileIsNamedInTheError() {
    assertThat(run(folder.resolve("none.log").toString())).isEqualTo(Verb.FAILED);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("none.log");
  }

  @Test
  void malformedBytesDoNotAffectOtherLines() throws IOException {
    accepted(1000, 0, 0);
    group(1000, "GROUP_STARTED", "run 1 on a, expected 1000 ms");
    group(2000, "GROUP_DONE", "run 1");
    ended(2000);
    byte[] text = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    byte[] bytes = new byte[text.length + 3];
    bytes[0] = (byte) 0xff;
    bytes[1] = (byte) 0xc3;
    bytes[2] = '\n';
    System.arraycopy(text, 0, bytes, 3, text.length);
    Path file = Files.write(folder.resolve("broken.log"), bytes);
    assertThat(run(file.toString())).isEqualTo(Verb.DONE);
    assertThat(output.toString(StandardCharsets.UTF_8)).containsMatch("live +1 +0 +1000");
  }
}
