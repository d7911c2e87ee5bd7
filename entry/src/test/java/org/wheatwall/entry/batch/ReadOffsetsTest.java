package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a job that runs after its cancellation was acknowledged: its submission arrived
 * while the process stood still, and is processed after the log was read again.
 */
final class ReadOffsetsTest {
  private final ReadOffsets offsets = new ReadOffsets(0);

  @Test
  void whatWasReadCountsWhileTheProcessRuns() {
    offsets.recordTick(100, 7);
    assertThat(offsets.offsetAtArrival(150, 9)).isEqualTo(9);
  }

  @Test
  void whatIsReadAfterAStandstillDoesNotCountForCallsThatArrivedDuringIt() {
    offsets.recordTick(100, 7);
    assertThat(offsets.offsetAtArrival(4100, 9)).isEqualTo(7);
    offsets.recordTick(4101, 9);
    assertThat(offsets.offsetAtArrival(4150, 9)).isEqualTo(7);
    offsets.recordTick(4201, 9);
    assertThat(offsets.offsetAtArrival(4700, 11)).isEqualTo(11);
  }
}
