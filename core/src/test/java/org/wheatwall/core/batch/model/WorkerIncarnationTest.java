package org.wheatwall.core.batch.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Lives of workers are told apart, ordered, and named so that the name can be read back. */
final class WorkerIncarnationTest {
  private static final WorkerIncarnation UNKNOWN = new WorkerIncarnation("a", OptionalLong.empty());

  @Test
  void aNameIsReadBack() {
    for (WorkerIncarnation life : List.of(UNKNOWN, WorkerIncarnation.startedAt("i-1..x", 7))) {
      assertThat(WorkerIncarnation.parse(life.name())).isEqualTo(life);
    }
  }

  @Test
  void anIdentifierThatEndsInNoTimeHasAnUnknownLife() {
    assertThat(WorkerIncarnation.parse("a..b"))
        .isEqualTo(new WorkerIncarnation("a..b", OptionalLong.empty()));
  }

  @Test
  void onlyAnEarlierLifeOfTheSameWorkerPrecedes() {
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
