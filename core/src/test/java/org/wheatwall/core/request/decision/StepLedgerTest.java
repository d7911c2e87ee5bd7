package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.decision.StepLedger.Admission;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepState;

/**
 * Tests a full ledger. Guards against a ledger that refuses every new step until old responses
 * expire, and one that frees capacity by losing the fact that a step ran.
 */
final class StepLedgerTest {
  private static final int MAX_RECORDS = 100;
  private static final long ATTEMPT_MS = 1000;
  private static final long MAX_BYTES = 200_000;

  private final StepLedger ledger = new StepLedger(600_000, ATTEMPT_MS, MAX_RECORDS, MAX_BYTES);

  private Admission admission(String key, long nowMs) {
    return ledger.admission(key, Optional.empty(), StepLedger.SINCE_BEGINNING, nowMs);
  }

  private static GrantId grant(int number) {
    return new GrantId("request-" + number, 1);
  }

  @Test
  void newStepsRunAndEvictedOnesNeverRunAgain() {
    for (int i = 0; i < 5 * MAX_RECORDS; i++) {
      String key = "key-" + i;
      assertWithMessage(key).that(admission(key, i)).isEqualTo(Admission.RUN);
      assertThat(ledger.recordStart(key, grant(i), i)).isTrue();
      RunnerResponse response = new RunnerResponse(200, "", new byte[0]);
      ledger.recordOutcome(key, grant(i), StepState.ANSWERED, Optional.of(response), i);
    }
    assertThat(ledger.size()).isAtMost(MAX_RECORDS);
    for (int i = 0; i < 5 * MAX_RECORDS; i++) {
      assertWithMessage("key-" + i).that(admission("key-" + i, 1000)).isNotEqualTo(Admission.RUN);
    }
    assertThat(admission("key-" + (5 * MAX_RECORDS - 1), 1000)).isEqualTo(Admission.KEPT);
  }

  @Test
  void largeResponsesAreBoundedByTheirBytes() {
    for (int i = 0; i < MAX_RECORDS; i++) {
      assertThat(admission("key-" + i, i)).isEqualTo(Admission.RUN);
      ledger.recordStart("key-" + i, grant(i), i);
      RunnerResponse response = new RunnerResponse(200, "", new byte[16 * 1024]);
      ledger.recordOutcome("key-" + i, grant(i), StepState.ANSWERED, Optional.of(response), i);
    }
    assertThat(ledger.heldBytes()).isAtMost(MAX_BYTES + 17 * 1024);
    assertThat(admission("key-0", MAX_RECORDS)).isEqualTo(Admission.UNKNOWN);
  }

  @Test
  void stepsInProgressAreNeverEvicted() {
    for (int i = 0; i < MAX_RECORDS; i++) {
      ledger.recordStart("key-" + i, grant(i), 0);
    }
    assertThat(admission("one-more", ATTEMPT_MS)).isEqualTo(Admission.FULL);
    assertThat(admission("key-0", ATTEMPT_MS)).isEqualTo(Admission.IN_PROGRESS);
    assertThat(admission("one-more", ATTEMPT_MS + 1)).isEqualTo(Admission.RUN);
    assertThat(admission("key-0", ATTEMPT_MS + 1)).isEqualTo(Admission.UNKNOWN);
  }
}
