package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Workers that are late are known within a quarter of a second, and so is a zone that was cut. */
final class LateAnswersTest {
  private static final int LATE_MS = LateAnswers.LATE_MS;

  private final LateAnswers answers = new LateAnswers();

  @Test
  void aWorkerIsLateAQuarterOfASecondAfterItsAnswerWasDue() {
    answers.asked("a", "z", 1000);
    assertThat(answers.late(1000 + LATE_MS - 1)).isEmpty();
    assertThat(answers.late(1000 + LATE_MS)).containsExactly("a");
    answers.answered("a", "z", 1300);
    assertThat(answers.late(2000)).isEmpty();
  }

  @Test
  void aZoneOfWhichSeveralAreLateAndNoneAnswersIsSilent() {
    answers.answered("d", "z", 1200);
    for (String worker : new String[] {"a", "b", "c"}) {
      answers.asked(worker, "z", 1000);
    }
    assertThat(answers.silentZones(1000 + LATE_MS)).isEmpty();
    assertThat(answers.silentZones(1200 + LATE_MS)).containsExactly("z");
  }

  // Workers may stand still by themselves while the others of their zone are well.
  @Test
  void aZoneThatAnswersIsNotSilent() {
    for (String worker : new String[] {"a", "b", "c", "d"}) {
      answers.asked(worker, "z", 1000);
    }
    answers.answered("e", "z", 1900);
    assertThat(answers.silentZones(2000)).isEmpty();
  }

  @Test
  void twoLateWorkersDoNotMakeAZoneSilent() {
    answers.asked("a", "z", 1000);
    answers.asked("b", "z", 1000);
    answers.asked("c", "y", 1000);
    assertThat(answers.silentZones(5000)).isEmpty();
  }
}
