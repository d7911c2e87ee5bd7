package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the entry hosts that opens a connection for each call. */
final class Client {
  /** An answer; status 0 if there was none. */
  record Answer(int status, String body) {
    static final Answer NONE = new Answer(0, "");

    boolean accepted() {
      return status >= 200 && status < 300;
    }
  }

  private final String host;
  private final String key;
  private final int deadlineMs;

  Client(String host, String key, int deadlineMs) {
    this.host = host;
    this.key = key;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the bytes of a request. */
  byte[] request(String method, String target, String body) {
    String head =
        method
            + " "
            + target
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\nAuthorization: Token "
            + key
            + "\r\nX-Deadline-Ms: "
            + deadlineMs
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }

  Answer call(String address, String method, String target, String body) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(deadlineMs);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          deadlineMs);
      socket.getOutputStream().write(request(method, target, body));
      return read(socket.getInputStream());
    } catch (IOException e) {
      return Answer.NONE;
    }
  }

  /** Reads one answer; {@link Answer#NONE} if the connection ends first. */
  static Answer read(InputStream in) throws IOException {
    String status = line(in);
    if (status == null) {
      return Answer.NONE;
    }
    int length = 0;
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      if (header.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    return body.length < length
        ? Answer.NONE
        : new Answer(
            Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        bytes.write(c);
      }
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
