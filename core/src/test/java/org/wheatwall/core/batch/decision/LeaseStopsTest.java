package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/** Guards against lease stops that count although leases may have been extended since. */
final class LeaseStopsTest {
  private static final LogContent.LeaseStop STOP = new LogContent.LeaseStop(500, List.of());

  private final LeaseStops stops = new LeaseStops();

  private static LogContent.Term term(OptionalLong leaseStopsFrom) {
    return new LogContent.Term(
        "h", "a", "l", 0, false, Optional.empty(), OptionalInt.empty(), leaseStopsFrom);
  }

  @Test
  void timeWithoutLeasesCountsFromBeforeTheRecordWasRead() {
    stops.add("w", STOP, 10, 2000);
    assertThat(stops.noLeaseSinceMs("w")).hasValue(1500L);
  }

  @Test
  void recordThatIsReadAgainKeepsItsTime() {
    stops.add("w", STOP, 10, 2000);
    stops.retainAll(Set.of("w"));
    stops.add("w", STOP, 10, 9000);
    assertThat(stops.noLeaseSinceMs("w")).hasValue(1500L);
  }

  @Test
  void laterRecordOfTheSameWorkerReplacesTheEarlierOne() {
    stops.add("w", STOP, 10, 2000);
    stops.add("w", STOP, 11, 9000);
    assertThat(stops.noLeaseSinceMs("w")).hasValue(8500L);
  }

  @Test
  void droppedRecordDoesNotCount() {
    stops.add("w", STOP, 10, 2000);
    stops.remove("w");
    assertThat(stops.noLeaseSinceMs("w")).isEmpty();
  }

  // Its holder extends leases whatever the records say.
  @Test
  void recordBeforeATermOfAnEarlierVersionDoesNotCount() {
    stops.add("w", STOP, 10, 2000);
    stops.onTerm(term(OptionalLong.empty()), 11);
    assertThat(stops.noLeaseSinceMs("w")).isEmpty();
    assertThat(stops.workers()).containsExactly("w");
    stops.add("w", STOP, 12, 3000);
    assertThat(stops.noLeaseSinceMs("w")).isPresent();
  }

  // A process that reads only the newest record of each key does not see such a term itself.
  @Test
  void laterTermsTellFromWhichOffsetRecordsCount() {
    stops.add("w", STOP, 10, 2000);
    stops.onTerm(term(OptionalLong.of(11)), 20);
    assertThat(stops.noLeaseSinceMs("w")).isEmpty();
    assertThat(stops.validFrom()).isEqualTo(11);
  }

  @Test
  void recordCountsThroughTermsOfThisVersion() {
    stops.add("w", STOP, 10, 2000);
    stops.onTerm(term(OptionalLong.of(0)), 11);
    assertThat(stops.noLeaseSinceMs("w")).hasValue(1500L);
  }

  // Its holder may not have read yet that a term of an earlier version came between.
  @Test
  void offsetFromWhichRecordsCountDoesNotFall() {
    stops.add("w", STOP, 10, 2000);
    stops.onTerm(term(OptionalLong.empty()), 11);
    stops.onTerm(term(OptionalLong.of(0)), 12);
    assertThat(stops.noLeaseSinceMs("w")).isEmpty();
    assertThat(stops.validFrom()).isEqualTo(11);
  }

  // The store may have removed the tombstone by the time the log is read anew.
  @Test
  void recordThatIsNotInTheLogAnyMoreDoesNotCount() {
    stops.add("w", STOP, 10, 2000);
    stops.retainAll(Set.of("other"));
    assertThat(stops.noLeaseSinceMs("w")).isEmpty();
    assertThat(stops.workers()).isEmpty();
  }
}
