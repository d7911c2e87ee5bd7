package org.wheatwall.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Pages shrink until they arrive, and grow only while they arrive quickly. */
final class PageLimitTest {
  private static final long FAST_MS = 100;
  private static final long SLOW_MS = 3000;

  private final PageLimit limit = new PageLimit();

  @Test
  void aPageThatNeverArrivesShrinksToOneRecord() {
    for (int i = 0; i < 20; i++) {
      limit.onFailure();
    }
    assertThat(limit.records()).isEqualTo(1);
  }

  @Test
  void fullPagesThatArriveQuicklyGrowToTheMaximum() {
    limit.onFailure();
    for (int i = 0; i < 20; i++) {
      limit.onPage(limit.records(), FAST_MS);
    }
    assertThat(limit.records()).isEqualTo(PageLimit.MAX_RECORDS);
  }

  @Test
  void aPageThatIsSlowOrNotFullDoesNotGrow() {
    int before = limit.records();
    limit.onPage(before, SLOW_MS);
    limit.onPage(before - 1, FAST_MS);
    assertThat(limit.records()).isEqualTo(before);
  }
}
