package org.wheatwall.wire.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against evicting ordinary callers, or the wrong ones of those that hold much. */
final class LoopMemoryTest {
  private static final long MAX_BYTES = 1000;
  private static final long AGE_MS = 50;

  private final LoopMemory loop = new LoopMemory(MAX_BYTES);
  private final List<String> evicted = new ArrayList<>();

  private ConnectionMemory open(String name) {
    return loop.open(() -> evicted.add(name));
  }

  @Test
  void connectionWithNoMoreThanAnEqualPartIsNotEvictedHoweverLongItHoldsIt() throws Exception {
    open("small").add(300);
    Thread.sleep(AGE_MS);
    open("second").add(350);
    assertThat(open("third").add(351)).isTrue();
    assertThat(evicted).containsExactly("second");
    assertThat(loop.heldBytes()).isEqualTo(651);
  }

  @Test
  void connectionThatHasHeldMostForLongestIsEvicted() throws Exception {
    open("long").add(400);
    Thread.sleep(AGE_MS);
    open("large").add(500);
    open("small").add(101);
    assertThat(evicted).containsExactly("long");
  }

  @Test
  void connectionThatAsksForMoreThanTheLimitIsEvictedItself() {
    open("other").add(100);
    assertThat(open("greedy").add(MAX_BYTES)).isFalse();
    assertThat(evicted).containsExactly("greedy");
    assertThat(loop.heldBytes()).isEqualTo(100);
  }

  @Test
  void evictedConnectionHoldsNothingMore() {
    ConnectionMemory connection = open("connection");
    connection.add(MAX_BYTES + 1);
    assertThat(connection.add(1)).isFalse();
    connection.remove(1);
    connection.close();
    assertThat(loop.heldBytes()).isEqualTo(0);
  }
}
