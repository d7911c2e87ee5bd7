package org.wheatwall.app.account;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wheatwall.app.Main;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;

/** Stalls are reported by the account command, and only if there were any. */
final class StallReportTest {
  private static final String JOB = "4df14da8c5b2cd3a";
  private static final String GROUP = JOB + ".0.0.6";

  @TempDir Path folder;

  private final List<String> lines = new ArrayList<>();

  private void line(String host, long atMs, String fields, String event) {
    lines.add(
        host
            + "{\"timestamp\":"
            + atMs
            + ",\"kvpList\": ["
            + fields
            + "],\"formattedMessage\":\""
            + event
            + "\"}");
  }

  private void group(long atMs, String group, String event, String reason) {
    String fields =
        String.format(
            "{\"job\":\"%s\"},{\"subject\":\"%s\"},{\"reason\":\"%s\"},{\"term\":\"1712\"}",
            JOB, group, reason);
    line("   8.4938 entry-2 ", atMs, fields, event);
  }

  private void groupWaits(String group, String reason) {
    group(1000, group, "GROUP_WAITS", reason);
  }

  private String runAccount() throws IOException {
    Path file = Files.write(folder.resolve("hosts.log"), lines);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output);
    int code = Main.run(List.of("account", file.toString()), new Console(stream, stream));
    assertThat(code).isEqualTo(Verb.DONE);
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void longWaitsAreReportedByReason() throws IOException {
    groupWaits(
        GROUP,
        "for 3756 ms: KEPT_FOR_URGENT_WORK, 610 are free; 566 of 567 groups wait for the same;"
            + " workers 238 usable, 7 without an answer");
    groupWaits(
        GROUP,
        "for 7600 ms: KEPT_FOR_URGENT_WORK, 610 are free; 9 of 11 groups wait for the same;"
            + " workers 163 usable, 15 unlisted, 65 without an answer;"
            + " 51.4% of the capacity counts as in use, 30.2% is held at workers that are not"
            + " heard");
    groupWaits(
        JOB + ".0.0.7",
        "for 4000 ms: KEPT_FOR_URGENT_WORK, 2 are free; 3 of 4 groups wait for the same;"
            + " workers 245 usable");
    groupWaits(
        JOB + ".0.0.8",
        "for 5000 ms: NEVER_FITS, rack a, needs 2; has 1; 0 of 4 groups wait for the same;"
            + " workers 4 not heard");
    String report = runAccount();
    assertThat(report).containsMatch("KEPT_FOR_URGENT_WORK +2 +567 +7600 +163\n");
    assertThat(report).containsMatch("NEVER_FITS +1 +1 +5000 +0\n");
  }

  @Test
  void waitsWithUnknownFormatAreCounted() throws IOException {
    groupWaits(GROUP, "for long");
    assertThat(runAccount()).contains("1 lines GROUP_WAITS have a reason of another form");
  }

  @Test
  void blockedRunsAreCountedOnceWithTheTimeFromStopToEnd() throws IOException {
    group(1000, GROUP, "RUN_STOPPING", "reclaimed for job x");
    group(
        6000,
        GROUP,
        "RUN_HELD_UP",
        "its stop is not over at i-a..17=RUNNING stop open, heard 6160 ms ago i-b=ORDERED stop"
            + " acknowledged, never heard");
    group(
        16000,
        GROUP,
        "RUN_HELD_UP",
        "its stop is not over at i-b=ORDERED stop acknowledged, heard 1 ms ago");
    group(17500, GROUP, "GROUP_INTERRUPTED", "run 1, 0 failed");
    group(20000, GROUP, "GROUP_STARTED", "run 2 on i-b");
    group(21000, GROUP, "RUN_STOPPING", "reclaimed for job y");
    group(
        26000,
        GROUP,
        "RUN_HELD_UP",
        "its stop is not over at i-b=RUNNING stop open, heard 5000 ms ago");
    String report = runAccount();
    assertThat(report).containsMatch("runs held up.*\nall +2 +16500\ni-b +2 +16500\n");
    assertThat(report).containsMatch("i-a..17 +1 +16500\n");
  }

  @Test
  void blockedRunWithoutLoggedStopCountsFromItsFirstLine() throws IOException {
    String reason = "its stop is not over at i-a=RUNNING stop open, never heard";
    group(6000, GROUP, "RUN_HELD_UP", reason);
    group(16000, GROUP, "RUN_HELD_UP", reason);
    assertThat(runAccount()).containsMatch("all +1 +10000\n");
  }

  @Test
  void ignoredEndsAreCounted() throws IOException {
    group(1000, "i-a", "END_PASSED_OVER", "end 1 (DONE) of run 1 of task t");
    group(2000, "i-b", "END_PASSED_OVER", "end 2 (DONE) of run 1 of task t");
    assertThat(runAccount()).containsMatch("passed over, a fault +2\n");
  }

  @Test
  void lateDecidersAreReportedByHostOrElseByFile() throws IOException {
    line("  26.4904 entry-8 ", 1000, "{\"lateMs\":\"292\"}", "loop-late");
    line("  27.4904 entry-8 ", 2000, "{\"lateMs\":\"271\"}", "loop-late");
    line("", 2000, "{\"lateMs\":\"900\"}", "loop-late");
    line("", 3000, "{\"tookMs\":\"411\"},{\"waiting\":\"500\"}", "look-was-long");
    String report = runAccount();
    assertThat(report)
        .containsMatch("late decision loops.*\nall +3 +900\nentry-8 +2 +292\nhosts.log +1 +900\n");
    assertThat(report).containsMatch("long looks.*\nall +1 +411\nhosts.log +1 +411\n");
  }

  @Test
  void noTableIsPrintedWithoutStalls() throws IOException {
    group(1000, GROUP, "GROUP_STARTED", "run 1 on i-a");
    group(2000, GROUP, "RUN_STOPPING", "reclaimed for job x");
    assertThat(runAccount()).doesNotContainMatch("waited for long|held up|passed over|loops|looks");
  }
}
