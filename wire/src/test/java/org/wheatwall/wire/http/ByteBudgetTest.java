package org.wheatwall.wire.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against large calls that exclude ordinary ones by filling the limit. */
final class ByteBudgetTest {
  private static final int KB = 1024;

  @Test
  void reserveIsForSmallCallsOnly() {
    ByteBudget budget = new ByteBudget(160 * KB);
    assertThat(budget.tryAcquire(160 * KB)).isTrue();
    assertThat(budget.tryAcquire(17 * KB)).isFalse();
    assertThat(budget.tryAcquire(16 * KB)).isTrue();
    assertThat(budget.tryAcquire(5 * KB)).isFalse();
    budget.release(160 * KB);
    budget.free(160 * KB);
    assertThat(budget.tryAcquire(144 * KB)).isTrue();
  }
}
