package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Workers that are late are known within a quarter of a second, and so is a zone that was cut. */
final class LateResponsesTest {
  private static final int LATE_MS = LateResponses.LATE_AFTER_MS;

  private final LateResponses answers = new LateResponses();

  @Test
  void aWorkerIsLateAQuarterOfASecondAfterItsAnswerWasDue() {
    answers.onQuerySent("a", "z", 1000);
    assertThat(answers.lateWorkers(1000 + LATE_MS - 1)).isEmpty();
    assertThat(answers.lateWorkers(1000 + LATE_MS)).containsExactly("a");
    answers.onResponse("a", "z", 1300);
    assertThat(answers.lateWorkers(2000)).isEmpty();
  }

  @Test
  void aZoneOfWhichSeveralAreLateAndNoneAnswersIsSilent() {
    answers.onResponse("d", "z", 1200);
    for (String worker : new String[] {"a", "b", "c"}) {
      answers.onQuerySent(worker, "z", 1000);
    }
    assertThat(answers.silentZones(1000 + LATE_MS)).isEmpty();
    assertThat(answers.silentZones(1200 + LATE_MS)).containsExactly("z");
  }

  // Workers may stand still by themselves while the others of their zone are well.
  @Test
  void aZoneThatAnswersIsNotSilent() {
    for (String worker : new String[] {"a", "b", "c", "d"}) {
      answers.onQuerySent(worker, "z", 1000);
    }
    answers.onResponse("e", "z", 1900);
    assertThat(answers.silentZones(2000)).isEmpty();
  }

  @Test
  void twoLateWorkersDoNotMakeAZoneSilent() {
    answers.onQuerySent("a", "z", 1000);
    answers.onQuerySent("b", "z", 1000);
    answers.onQuerySent("c", "y", 1000);
    assertThat(answers.silentZones(5000)).isEmpty();
  }
}
