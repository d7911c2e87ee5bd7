package org.wheatwall.core.batch.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Incarnations of workers are distinguished, ordered, and named so that names can be parsed. */
final class WorkerIncarnationTest {
  private static final WorkerIncarnation UNKNOWN = new WorkerIncarnation("a", OptionalLong.empty());

  @Test
  void aNameIsParsed() {
    for (WorkerIncarnation incarnation :
        List.of(UNKNOWN, WorkerIncarnation.startedAt("i-1..x", 7))) {
      assertThat(WorkerIncarnation.parse(incarnation.name())).isEqualTo(incarnation);
    }
  }

  @Test
  void anIdentifierWithoutAStartTimeHasAnUnknownIncarnation() {
    assertThat(WorkerIncarnation.parse("a..b"))
        .isEqualTo(new WorkerIncarnation("a..b", OptionalLong.empty()));
  }

  @Test
  void onlyAnEarlierIncarnationOfTheSameWorkerPrecedes() {
    WorkerIncarnation first = WorkerIncarnation.startedAt("a", 7);
    WorkerIncarnation second = WorkerIncarnation.startedAt("a", 8);
    assertThat(first.precedes(second)).isTrue();
    assertThat(UNKNOWN.precedes(first)).isTrue();
    assertThat(second.precedes(first)).isFalse();
    assertThat(first.precedes(WorkerIncarnation.startedAt("a", 7))).isFalse();
    assertThat(first.precedes(UNKNOWN)).isFalse();
    assertThat(first.precedes(WorkerIncarnation.startedAt("b", 8))).isFalse();
  }
}
