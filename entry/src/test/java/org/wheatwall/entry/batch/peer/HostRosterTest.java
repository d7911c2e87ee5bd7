package org.wheatwall.entry.batch.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/** Which hosts the log names, which of them are asked first, and when a host names itself. */
final class HostRosterTest {
  private static final LogContent.Host OWN = new LogContent.Host("10.0.0.1:7001", "north");
  private static final LogContent.Host NEAR = new LogContent.Host("10.0.0.2:7001", "north");
  private static final LogContent.Host FAR = new LogContent.Host("10.1.0.1:7001", "south");

  private final HostRoster roster = new HostRoster("own", OWN, 0);

  @Test
  void peersOfTheOwnZoneComeFirstAndTheHostItselfIsNone() {
    roster.update(Map.of("far", FAR, "own", OWN, "near", NEAR));
    assertThat(roster.peers()).containsExactly(NEAR, FAR).inOrder();
  }

  // Its earlier name may still stand in the log; asking it would be asking itself.
  @Test
  void anEntryAtTheOwnAddressIsNoPeer() {
    roster.update(Map.of("earlier-name", OWN));
    assertThat(roster.peers()).isEmpty();
  }

  @Test
  void aHostNamesItselfOnceUnlessItsAddressChanges() {
    assertThat(roster.mustAnnounce(Map.of(), 1000)).isFalse();
    assertThat(roster.mustAnnounce(Map.of(), 3000)).isTrue();
    roster.seen("own", 3000);
    assertThat(roster.mustAnnounce(Map.of("own", OWN), 3100)).isFalse();
    assertThat(roster.mustAnnounce(Map.of("own", NEAR), 3100)).isTrue();
  }

  @Test
  void aHostNamesItselfAgainAfterTenMinutesAndIsForgottenAfterThirty() {
    Map<String, LogContent.Host> hosts = Map.of("own", OWN, "near", NEAR);
    roster.seen("own", 0);
    roster.seen("near", 0);
    assertThat(roster.mustAnnounce(hosts, 600_000)).isTrue();
    roster.seen("own", 600_000);
    assertThat(roster.gone(1_799_999)).isEmpty();
    assertThat(roster.gone(1_800_000)).containsExactly("near");
  }

  @Test
  void hostsThatTheLogNoLongerNamesAreNotForgottenTwice() {
    roster.seen("near", 0);
    roster.update(Map.of());
    assertThat(roster.gone(2_000_000)).isEmpty();
  }
}
