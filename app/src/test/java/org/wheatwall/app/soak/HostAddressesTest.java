package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Hosts of concurrent soaks never share an address. Fixed addresses fail the first test. */
final class HostAddressesTest {
  private static final int FIRST_PROCESS = 250;
  private static final int PROCESSES = 520;
  private static final int HOSTS = 5;
  private static final int PORTS = 4;

  @Test
  void concurrentProcessesHaveDistinctAddresses() {
    Set<InetAddress> addresses = new HashSet<>();
    for (int process = FIRST_PROCESS; process < FIRST_PROCESS + PROCESSES; process++) {
      for (int host = 0; host < HOSTS; host++) {
        InetAddress address = HostAddresses.of(process, host);
        assertThat(address.isLoopbackAddress()).isTrue();
        assertThat(addresses.add(address)).isTrue();
      }
    }
  }

  @Test
  void portsOfOneHostDiffer() {
    List<InetSocketAddress> addresses =
        HostAddresses.withFreePorts(InetAddress.getLoopbackAddress(), PORTS);
    assertThat(Set.copyOf(addresses)).hasSize(PORTS);
  }

  @Test
  void hostNumberOutOfRangeIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> HostAddresses.of(1, 200));
  }
}
