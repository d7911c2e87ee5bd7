package org.wheatwall.wire;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.Hello;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.Retire;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.peer.PeerServer;
import org.wheatwall.wire.settings.SettingsFault;
import org.wheatwall.wire.settings.SettingsFile;

/**
 * Malformed, oversized and ambiguous input is refused with a remedy and does not affect other
 * callers.
 */
final class BadInputTest {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final int MAX_BODY = 1024;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String exchange(int port, String request) throws IOException {
    return exchange(port, request.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String exchange(int port, byte[] request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(3000);
      socket.getOutputStream().write(request);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void malformedAndAmbiguousRequestsAreRefusedAndOthersServed() throws Exception {
    List<String> seen = new ArrayList<>();
    HttpServer server =
        HttpServer.start(
            group,
            ANY_PORT,
            MAX_BODY,
            call -> {
              seen.add(call.target());
              return CompletableFuture.completedFuture(HttpReply.text(200, "fine"));
            });
    String twoLengths =
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 5\r\n\r\nabcde";
    String lengthAndChunks =
        """
        POST /x HTTP/1.1
        Host: a
        Content-Length: 4
        Transfer-Encoding: chunked

        0

        GET /smuggled HTTP/1.1
        Host: a

        """
            .replace("\n", "\r\n");
    String garbage = "\u0001\u0002 this is not HTTP\r\n\r\n";
    String badChunk = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    String largeHeader = "GET /x HTTP/1.1\r\nHost: a\r\nBig: " + "x".repeat(20_000) + "\r\n\r\n";
    for (String request : List.of(twoLengths, lengthAndChunks, garbage, badChunk, largeHeader)) {
      assertWithMessage(request).that(exchange(server.port(), request)).contains(" 400 ");
    }
    assertThat(seen).isEmpty();
    String large =
        "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + "x".repeat(5000);
    String response = exchange(server.port(), large);
    assertThat(response).contains(" 413 ");
    assertThat(response).contains("send a smaller body");
    assertThat(seen).doesNotContain("/large");
    String valid = "GET /sound HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    assertThat(exchange(server.port(), valid)).contains("fine");
    server.close();
  }

  @Test
  void framesWithoutTheKeyOrOutOfBoundsCloseTheirConnectionOnly() throws Exception {
    PeerServer server =
        PeerServer.start(
            group,
            ANY_PORT,
            "key",
            request ->
                CompletableFuture.completedFuture(
                    Envelope.newBuilder().setRetire(Retire.getDefaultInstance())));
    byte[] hugeFrame = {(byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
    byte[] garbage = {0, 0, 0, 3, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    assertThat(exchange(server.port(), hugeFrame)).isEmpty();
    assertThat(exchange(server.port(), garbage)).doesNotContain("retire");
    String address = "127.0.0.1:" + server.port();
    Envelope.Builder request = Envelope.newBuilder().setRetire(Retire.getDefaultInstance());
    PeerIdentity self = PeerIdentity.getDefaultInstance();
    PeerClient unauthenticated = new PeerClient(group, self, "wrong");
    assertThat(unauthenticated.send(address, request, 1000).handle((r, f) -> f != null).join())
        .isTrue();
    PeerClient peer = new PeerClient(group, self, "key");
    assertThat(peer.send(address, request, 1000).join().hasRetire()).isTrue();
    server.close();
  }

  @Test
  void unknownProtocolVersionsAreRefusedAndUnknownFieldsIgnored() throws Exception {
    PeerServer server =
        PeerServer.start(
            group, ANY_PORT, "key", r -> CompletableFuture.completedFuture(Envelope.newBuilder()));
    assertThat(exchange(server.port(), frame(hello(99, "key"))))
        .contains("run a version of wheatwall that speaks protocol version 1");
    assertThat(exchange(server.port(), frame(hello(1, "wrong")))).contains("peerKey");
    // Unknown field 999, as a newer version might send it: a varint with the value 1.
    byte[] known = hello(1, "key");
    byte[] newer = Arrays.copyOf(known, known.length + 3);
    newer[known.length] = (byte) 0xb8;
    newer[known.length + 1] = 0x3e;
    newer[known.length + 2] = 1;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(3000);
      socket.getOutputStream().write(frame(newer));
      socket.getOutputStream().write(frame(Envelope.newBuilder().setId(7).build().toByteArray()));
      DataInputStream replies = new DataInputStream(socket.getInputStream());
      Envelope reply = Envelope.parseFrom(replies.readNBytes(replies.readInt()));
      assertThat(reply.getId()).isEqualTo(7);
    }
    server.close();
  }

  private static byte[] hello(int version, String key) {
    Hello hello =
        Hello.newBuilder()
            .setProtocolVersion(version)
            .setKeyProof(ByteString.copyFromUtf8(key))
            .build();
    return Envelope.newBuilder().setHello(hello).build().toByteArray();
  }

  private static byte[] frame(byte[] message) {
    return ByteBuffer.allocate(4 + message.length).putInt(message.length).put(message).array();
  }

  @Test
  void everyFaultOfSettingsIsReportedWithItsLine() {
    String text =
        """
        {
          "name": "Not A Name",   // a comment
          "count": 70000,
          "extra": true,
          "inner": {"address": "localhost:1"}
        }
        """;
    List<SettingsFault> faults = new ArrayList<>();
    Object value =
        SettingsFile.read(
            text,
            root -> {
              root.name("name");
              root.integer("count", 1, 10, 1);
              root.section("inner").address("address");
              root.text("absent", null);
              return root;
            },
            faults);
    assertThat(value).isNull();
    assertThat(faults.stream().map(SettingsFault::key).toList())
        .containsExactly("name", "count", "inner.address", "absent", "extra");
    assertThat(
            faults.stream().filter(f -> f.key().equals("inner.address")).findFirst().get().line())
        .isEqualTo(5);
    assertThat(faults.stream().allMatch(fault -> !fault.remedy().isEmpty())).isTrue();
  }
}
