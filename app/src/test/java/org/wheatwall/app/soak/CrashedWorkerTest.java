package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskWorkerModel;
import org.wheatwall.standin.task.TaskWorkerStandIn;

/**
 * A crashed worker closes its connections. If one stayed open, it kept responding with 503 to a
 * host that also had connections to the next process at that address: every start was refused while
 * reports arrived, and the job stayed in the running state.
 */
final class CrashedWorkerTest {
  private static final int LIMIT_MS = 5000;
  private static final byte[] REQUEST =
      "POST /v1/hold HTTP/1.1\r\nHost: w\r\nContent-Length: 2\r\n\r\n{}"
          .getBytes(StandardCharsets.US_ASCII);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully();
  }

  @Test
  void connectionIsClosedAfterTheFirstResponse() throws Exception {
    TaskWorkerModel model = new TaskWorkerModel("w", 1, 8, new TaskLedger(), 0, 3000);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (TaskWorkerStandIn worker = TaskWorkerStandIn.start(group, any, model);
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), worker.port())) {
      socket.setSoTimeout(LIMIT_MS);
      synchronized (model) {
        model.crash(0);
      }
      socket.getOutputStream().write(REQUEST);
      byte[] response = socket.getInputStream().readAllBytes();
      assertThat(new String(response, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 503");
    }
  }
}
