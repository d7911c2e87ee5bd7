package org.wheatwall.entry.batch.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/**
 * Which hosts are registered in the log, in which order they are tried, and when a host announces
 * itself.
 */
final class HostRosterTest {
  private static final LogContent.Host OWN = new LogContent.Host("10.0.0.1:7001", "north");
  private static final LogContent.Host NEAR = new LogContent.Host("10.0.0.2:7001", "north");
  private static final LogContent.Host FAR = new LogContent.Host("10.1.0.1:7001", "south");

  private final HostRoster roster = new HostRoster("own", OWN, 0);

  @Test
  void peersOfTheSameZoneComeFirstAndTheHostItselfIsExcluded() {
    roster.update(Map.of("far", FAR, "own", OWN, "near", NEAR));
    assertThat(roster.peers()).containsExactly(NEAR, FAR).inOrder();
  }

  // The log may still contain a record under an earlier name of this host; a call to it would be a
  // call to itself.
  @Test
  void anEntryAtTheOwnAddressIsNotAPeer() {
    roster.update(Map.of("earlier-name", OWN));
    assertThat(roster.peers()).isEmpty();
  }

  @Test
  void aHostAnnouncesItselfOnceUnlessItsAddressChanges() {
    assertThat(roster.mustAnnounce(Map.of(), 1000)).isFalse();
    assertThat(roster.mustAnnounce(Map.of(), 3000)).isTrue();
    roster.recordSeen("own", 3000);
    assertThat(roster.mustAnnounce(Map.of("own", OWN), 3100)).isFalse();
    assertThat(roster.mustAnnounce(Map.of("own", NEAR), 3100)).isTrue();
  }

  @Test
  void aHostAnnouncesItselfAgainAfterTenMinutesAndExpiresAfterThirty() {
    Map<String, LogContent.Host> hosts = Map.of("own", OWN, "near", NEAR);
    roster.recordSeen("own", 0);
    roster.recordSeen("near", 0);
    assertThat(roster.mustAnnounce(hosts, 600_000)).isTrue();
    roster.recordSeen("own", 600_000);
    assertThat(roster.expiredHosts(1_799_999)).isEmpty();
    assertThat(roster.expiredHosts(1_800_000)).containsExactly("near");
  }

  @Test
  void hostsThatWereDroppedFromTheLogDoNotExpireAgain() {
    roster.recordSeen("near", 0);
    roster.update(Map.of());
    assertThat(roster.expiredHosts(2_000_000)).isEmpty();
  }
}
