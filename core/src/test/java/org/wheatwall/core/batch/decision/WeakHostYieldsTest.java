package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/**
 * A slow host claims later than fast ones, however it learned that the term is free. The process of
 * a killed holder restarts within a second and reports that it holds no term. Without the delay, 41
 * hosts then claimed at the same time, and one with a third of a core won.
 */
final class WeakHostYieldsTest {
  private static final TermSettings SETTINGS = TermSettings.DEFAULT;
  private static final int YIELD_MS = 450;
  private static final long LAST_RECORD_MS = 1000;

  private static final Optional<LogContent.Term> HELD =
      Optional.of(new LogContent.Term("host", "a", "life-1", 7, false));

  private static long firstClaimMs(TermSettings settings, HolderStatus status) {
    TermRule rule = new TermRule(settings, "host-b", "b", "life-2", 0);
    rule.onDeciderRecord(LAST_RECORD_MS);
    long nowMs = LAST_RECORD_MS + SETTINGS.askMs();
    rule.onHolderQueried(status);
    while (!rule.mayClaim(HELD, nowMs)) {
      nowMs++;
    }
    return nowMs;
  }

  @Test
  void aWeakHostYieldsWhenTheHolderReportsItsResignation() {
    assertThat(firstClaimMs(SETTINGS.withYieldMs(YIELD_MS), HolderStatus.RESIGNED))
        .isEqualTo(firstClaimMs(SETTINGS, HolderStatus.RESIGNED) + YIELD_MS);
  }

  @Test
  void aWeakHostYieldsWhenTheHolderDoesNotRespond() {
    assertThat(firstClaimMs(SETTINGS.withYieldMs(YIELD_MS), HolderStatus.SILENT))
        .isEqualTo(firstClaimMs(SETTINGS, HolderStatus.SILENT) + YIELD_MS);
  }
}
