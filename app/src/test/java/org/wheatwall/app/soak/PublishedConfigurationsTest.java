package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.standin.store.StoreStandIn;

/** Versions increase until publishing is stopped. */
final class PublishedConfigurationsTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private StoreStandIn store;
  private PublishedConfigurations configurations;

  @BeforeEach
  void start() {
    store = StoreStandIn.start(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    configurations = new PublishedConfigurations(store, List.of("127.0.0.1"), new RunClock());
  }

  @AfterEach
  void stop() {
    store.close();
    group.shutdownGracefully().awaitUninterruptibly();
  }

  @Test
  void publishesConsecutiveVersions() {
    configurations.publish();
    configurations.publish();
    assertThat(configurations.newestVersion()).isEqualTo(2);
  }

  /**
   * The probe publishes at random times. If a version is published between the last probe of a host
   * and its kill, it is never observed on the host; the older version written afterwards is then no
   * rollback, and SoakIT misses the injected fault.
   */
  @Test
  void publishesNothingAfterStop() {
    configurations.publish();
    configurations.stopPublishing();
    configurations.publish();
    assertThat(configurations.newestVersion()).isEqualTo(1);
  }
}
