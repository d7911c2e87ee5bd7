package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.decision.StepLedger.Leave;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.StepState;

/**
 * A full ledger. Catches one that refuses every new step until old answers expire, and one that
 * makes room by forgetting that a step ran.
 */
final class StepLedgerTest {
  private static final int MOST = 100;
  private static final long TRY_MS = 1000;
  private static final long MOST_BYTES = 200_000;

  private final StepLedger ledger = new StepLedger(600_000, TRY_MS, MOST, MOST_BYTES);

  private Leave judge(String key, long nowMs) {
    return ledger.judge(key, Optional.empty(), StepLedger.SINCE_EVER, nowMs);
  }

  private static GrantId grant(int number) {
    return new GrantId("request-" + number, 1);
  }

  @Test
  void newStepsRunAndForgottenOnesNeverRunAgain() {
    for (int i = 0; i < 5 * MOST; i++) {
      String key = "key-" + i;
      assertWithMessage(key).that(judge(key, i)).isEqualTo(Leave.RUN);
      assertThat(ledger.start(key, grant(i), i)).isTrue();
      Answer answer = new Answer(200, "", new byte[0]);
      ledger.finish(key, grant(i), StepState.ANSWERED, Optional.of(answer), i);
    }
    assertThat(ledger.size()).isAtMost(MOST);
    for (int i = 0; i < 5 * MOST; i++) {
      assertWithMessage("key-" + i).that(judge("key-" + i, 1000)).isNotEqualTo(Leave.RUN);
    }
    assertThat(judge("key-" + (5 * MOST - 1), 1000)).isEqualTo(Leave.KEPT);
  }

  @Test
  void largeAnswersAreBoundedByTheirBytes() {
    for (int i = 0; i < MOST; i++) {
      assertThat(judge("key-" + i, i)).isEqualTo(Leave.RUN);
      ledger.start("key-" + i, grant(i), i);
      Answer answer = new Answer(200, "", new byte[16 * 1024]);
      ledger.finish("key-" + i, grant(i), StepState.ANSWERED, Optional.of(answer), i);
    }
    assertThat(ledger.heldBytes()).isAtMost(MOST_BYTES + 17 * 1024);
    assertThat(judge("key-0", MOST)).isEqualTo(Leave.UNKNOWN);
  }

  @Test
  void stepsUnderWayAreNeverForgotten() {
    for (int i = 0; i < MOST; i++) {
      ledger.start("key-" + i, grant(i), 0);
    }
    assertThat(judge("one-more", TRY_MS)).isEqualTo(Leave.FULL);
    assertThat(judge("key-0", TRY_MS)).isEqualTo(Leave.IN_PROGRESS);
    assertThat(judge("one-more", TRY_MS + 1)).isEqualTo(Leave.RUN);
    assertThat(judge("key-0", TRY_MS + 1)).isEqualTo(Leave.UNKNOWN);
  }
}
