package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Late workers and partitioned zones are detected within a quarter of a second. */
final class LateResponsesTest {
  private static final int LATE_AFTER_MS = LateResponses.LATE_AFTER_MS;

  private final LateResponses responses = new LateResponses();

  @Test
  void aWorkerIsLateAQuarterOfASecondAfterItsResponseWasDue() {
    responses.onQuerySent("a", "z", 1000);
    assertThat(responses.lateWorkers(1000 + LATE_AFTER_MS - 1)).isEmpty();
    assertThat(responses.lateWorkers(1000 + LATE_AFTER_MS)).containsExactly("a");
    responses.onResponse("a", "z", 1300);
    assertThat(responses.lateWorkers(2000)).isEmpty();
  }

  @Test
  void aZoneWithSeveralLateWorkersAndNoResponseIsSilent() {
    responses.onResponse("d", "z", 1200);
    for (String worker : new String[] {"a", "b", "c"}) {
      responses.onQuerySent(worker, "z", 1000);
    }
    assertThat(responses.silentZones(1000 + LATE_AFTER_MS)).isEmpty();
    assertThat(responses.silentZones(1200 + LATE_AFTER_MS)).containsExactly("z");
  }

  // Workers may stall by themselves while the others of their zone are healthy.
  @Test
  void aZoneWithAResponseIsNotSilent() {
    for (String worker : new String[] {"a", "b", "c", "d"}) {
      responses.onQuerySent(worker, "z", 1000);
    }
    responses.onResponse("e", "z", 1900);
    assertThat(responses.silentZones(2000)).isEmpty();
  }

  @Test
  void twoLateWorkersDoNotMakeAZoneSilent() {
    responses.onQuerySent("a", "z", 1000);
    responses.onQuerySent("b", "z", 1000);
    responses.onQuerySent("c", "y", 1000);
    assertThat(responses.silentZones(5000)).isEmpty();
  }

  // One worker that responded kept all idle workers of its partitioned zone in use.
  @Test
  void oneRespondingWorkerDoesNotHideASilentZone() {
    for (int i = 0; i < 20; i++) {
      responses.onQuerySent("late-" + i, "z", 1000);
    }
    responses.onResponse("responding", "z", 1900);
    assertThat(responses.silentZones(2000)).containsExactly("z");
    assertThat(responses.maySuspectWithZone("responding", 2000)).isFalse();
    assertThat(responses.maySuspectWithZone("idle", 2000)).isTrue();
  }
}
