package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/**
 * A weak host claims later than strong ones whatever shows that the term is free. The process of a
 * holder that was killed is back within a second and says that it holds nothing; 41 hosts then
 * claimed at once, and one of a third of a core won.
 */
final class WeakHostYieldsTest {
  private static final TermSettings TIMES = TermSettings.DEFAULT;
  private static final int YIELD_MS = 450;
  private static final long LAST_RECORD_MS = 1000;

  private static final Optional<LogContent.Term> HELD =
      Optional.of(new LogContent.Term("host", "a", "life-1", 7, false));

  private static long firstClaimMs(TermSettings settings, HolderStatus sign) {
    TermRule rule = new TermRule(settings, "b", "life-2", 0);
    rule.onDeciderRecord(LAST_RECORD_MS);
    long nowMs = LAST_RECORD_MS + TIMES.askMs();
    rule.onHolderQueried(sign);
    while (!rule.mayClaim(HELD, nowMs)) {
      nowMs++;
    }
    return nowMs;
  }

  @Test
  void aWeakHostYieldsWhenTheHolderSaysThatItGaveUp() {
    assertThat(firstClaimMs(TIMES.withYieldMs(YIELD_MS), HolderStatus.RESIGNED))
        .isEqualTo(firstClaimMs(TIMES, HolderStatus.RESIGNED) + YIELD_MS);
  }

  @Test
  void aWeakHostYieldsWhenTheHolderDoesNotAnswer() {
    assertThat(firstClaimMs(TIMES.withYieldMs(YIELD_MS), HolderStatus.SILENT))
        .isEqualTo(firstClaimMs(TIMES, HolderStatus.SILENT) + YIELD_MS);
  }
}
