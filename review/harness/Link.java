package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The path to a server. While it is cut, open connections say nothing, what is sent on them is
 * lost, and new connections hang: nothing accepts them, and the queue of those that wait is full.
 */
final class Link {
  private static final int BACKLOG = 4;
  private static final int MAX_FILLERS = 64;
  private static final int ACCEPT_MS = 20;
  private static final int FULL_AFTER_MS = 150;
  private static final int BUFFER = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final ReentrantLock accepting = new ReentrantLock(true);
  private final List<Socket> open = new ArrayList<>();
  private final List<Socket> fillers = new ArrayList<>();
  private volatile boolean cut;
  private volatile boolean closed;

  Link(String ip, InetSocketAddress target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
    listener.setSoTimeout(ACCEPT_MS);
    Http.run(this::acceptAll);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Cuts the path; returns once new connections hang. */
  void cut() throws IOException {
    accepting.lock();
    try {
      cut = true;
    } finally {
      accepting.unlock();
    }
    for (int i = 0; i < MAX_FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(listener.getLocalSocketAddress(), FULL_AFTER_MS);
      } catch (SocketTimeoutException full) {
        return;
      }
    }
    throw new IOException("new connections do not hang");
  }

  /** Serves again; the connections of before are reset. */
  void heal() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    resetOpen();
    cut = false;
  }

  /** Closes the port. */
  void close() throws IOException {
    closed = true;
    listener.close();
    resetOpen();
  }

  private synchronized void resetOpen() throws IOException {
    for (Socket socket : open) {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
    open.clear();
  }

  private void acceptAll() {
    while (!closed) {
      accepting.lock();
      try {
        if (!cut) {
          Socket caller = listener.accept();
          Http.run(() -> connect(caller));
        }
      } catch (SocketTimeoutException none) {
        // Looks again whether the path was cut.
      } catch (IOException e) {
        return;
      } finally {
        accepting.unlock();
      }
      if (cut) {
        Http.sleep(ACCEPT_MS);
      }
    }
  }

  private void connect(Socket caller) {
    try {
      Socket server = new Socket();
      server.connect(target);
      caller.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      synchronized (this) {
        open.removeIf(Socket::isClosed);
        open.add(caller);
        open.add(server);
      }
      Http.run(() -> pump(caller, server));
      Http.run(() -> pump(server, caller));
    } catch (IOException e) {
      closeQuietly(caller);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!cut) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // The connection was closed.
    }
    if (!cut) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }
}
