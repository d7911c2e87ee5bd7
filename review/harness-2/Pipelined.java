package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A host gets SIGTERM while a client sends requests on an open connection, two at a time. Each
 * request that the host has read must be answered.
 */
final class Pipelined {
  private static final String RUNNING = Deployment.BATCH + "00000000000000d1";
  private static final int GRACE_MS = 6000;
  private static final int LOSS_SLACK_MS = 200;

  private Pipelined() {}

  public static void main(String[] arguments) {
    Case.run(arguments, new Deployment.RecordingLedger(), Pipelined::play);
  }

  private static int play(Deployment deployment) throws Exception {
    deployment.callPatiently(
        "POST", RUNNING, Deployment.job("ms=60000 cpu=1000", 1, 1000, ""), 3);
    Thread.sleep(1000);
    Hosts.Host host = deployment.hosts.all().get(0);
    host.expectEnd();
    int colon = host.jobs.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(GRACE_MS);
      socket.connect(
          new InetSocketAddress(
              host.jobs.substring(0, colon), Integer.parseInt(host.jobs.substring(colon + 1))));
      long untilMs = deployment.record.nowMs() + 1000;
      boolean signalled = false;
      while (deployment.record.nowMs() < untilMs + GRACE_MS) {
        if (Deployment.troubled() && !signalled && deployment.record.nowMs() >= untilMs) {
          signalled = true;
          host.signal("TERM");
          deployment.record.line("SIGTERM to " + host.name);
        }
        byte[] request = deployment.client.request("GET", RUNNING, "");
        byte[] both = new byte[2 * request.length];
        System.arraycopy(request, 0, both, 0, request.length);
        System.arraycopy(request, 0, both, request.length, request.length);
        long sentMs = deployment.record.nowMs();
        try {
          socket.getOutputStream().write(both);
        } catch (IOException e) {
          deployment.record.line("not sent: " + e);
          return Case.HELD;
        }
        for (int i = 1; i <= 2; i++) {
          Client.Answer answer = readOrNone(socket);
          long tookMs = deployment.record.nowMs() - sentMs;
          deployment.record.line("answer " + i + " after " + tookMs + " ms: " + answer);
          if (answer.status() == 0) {
            boolean read = i == 2 && tookMs > LOSS_SLACK_MS;
            deployment.record.line(
                read
                    ? "the connection closed " + tookMs + " ms after the request was sent"
                    : "the connection was closed before the requests were read");
            return read ? Case.BROKEN : Case.HELD;
          }
        }
      }
    }
    return Case.HELD;
  }

  private static Client.Answer readOrNone(Socket socket) {
    try {
      return Client.read(socket.getInputStream());
    } catch (IOException e) {
      return Client.Answer.NONE;
    }
  }
}
