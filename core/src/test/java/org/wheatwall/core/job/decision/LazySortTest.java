package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Compares with a complete sort. */
final class LazySortTest {
  private static final int SIZE = 1000;

  private final List<Integer> sorted = IntStream.range(0, SIZE).boxed().toList();

  private void assertSorted(List<Integer> input) {
    assertThat(new LazySort<>(input, Comparator.naturalOrder()))
        .containsExactlyElementsIn(sorted)
        .inOrder();
  }

  @Test
  void anyInputIsReadInOrder() {
    List<Integer> input = new ArrayList<>(sorted);
    assertSorted(input);
    Collections.reverse(input);
    assertSorted(input);
    for (int seed = 0; seed < 20; seed++) {
      Collections.shuffle(input, new Random(seed));
      assertSorted(input);
    }
  }

  @Test
  void positionsMayBeReadInAnyOrder() {
    Random random = new Random(1);
    List<Integer> input = new ArrayList<>(sorted);
    Collections.shuffle(input, random);
    LazySort<Integer> lazy = new LazySort<>(input, Comparator.naturalOrder());
    for (int i = 0; i < SIZE; i++) {
      int position = random.nextInt(SIZE);
      assertThat(lazy.get(position)).isEqualTo(position);
    }
  }

  @Test
  void theHeadOfALongQueueTakesFewComparisons() {
    List<Integer> input = new ArrayList<>(sorted);
    Collections.shuffle(input, new Random(1));
    int[] comparisons = {0};
    LazySort<Integer> lazy =
        new LazySort<>(
            input,
            (one, other) -> {
              comparisons[0]++;
              return Integer.compare(one, other);
            });
    for (int i = 0; i < 10; i++) {
      assertThat(lazy.get(i)).isEqualTo(i);
    }
    assertThat(comparisons[0]).isLessThan(5 * SIZE);
  }
}
