package org.wheatwall.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Many clients that send the same bytes to a port on loopback, each on its own connection, and then
 * keep the connection. A connection that the server closes is opened again, a limited number of
 * times in total.
 */
final class ClientCrowd implements AutoCloseable {
  private static final int REOPENINGS = 20;
  private static final int SELECT_MS = 100;
  private static final int READ_BYTES = 64 * 1024;
  private static final int SENT_TIMEOUT_SECONDS = 20;
  private static final int STOP_TIMEOUT_MS = 10_000;

  private final InetSocketAddress address;
  private final byte[] request;
  private final boolean reads;
  private final Selector selector = Selector.open();
  private final ByteBuffer received = ByteBuffer.allocate(READ_BYTES);
  private final CountDownLatch sent;
  private final Thread thread;
  private int reopenings;
  private volatile boolean stopped;

  /**
   * Opens the connections.
   *
   * @param connections how many connections are open at once
   * @param reads whether the clients read what the server sends
   */
  ClientCrowd(int port, byte[] request, int connections, boolean reads) throws IOException {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    this.request = request;
    this.reads = reads;
    sent = new CountDownLatch(connections);
    reopenings = connections * REOPENINGS;
    for (int i = 0; i < connections; i++) {
      open();
    }
    thread = new Thread(this::run, "client-crowd");
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits until as many requests as there are connections were sent, or cannot be sent. */
  void awaitSent() throws InterruptedException {
    sent.await(SENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void open() throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    channel.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(request));
    channel.connect(address);
  }

  private void run() {
    try {
      while (!stopped) {
        selector.select(SELECT_MS);
        for (SelectionKey key : selector.selectedKeys()) {
          advance(key);
        }
        selector.selectedKeys().clear();
      }
    } catch (IOException e) {
      throw new IllegalStateException("the crowd cannot be kept up", e);
    } finally {
      closeAll();
    }
  }

  private void advance(SelectionKey key) throws IOException {
    try {
      if (key.isConnectable()) {
        ((SocketChannel) key.channel()).finishConnect();
        key.interestOps(interest(SelectionKey.OP_WRITE));
      }
      if (key.isWritable()) {
        write(key);
      }
      if (key.isReadable()) {
        read(key);
      }
    } catch (IOException e) {
      onClosed(key);
    }
  }

  private int interest(int operation) {
    return reads ? operation | SelectionKey.OP_READ : operation;
  }

  private void write(SelectionKey key) throws IOException {
    ByteBuffer unsent = (ByteBuffer) key.attachment();
    ((SocketChannel) key.channel()).write(unsent);
    if (!unsent.hasRemaining()) {
      sent.countDown();
      key.interestOps(interest(0));
    }
  }

  private void read(SelectionKey key) throws IOException {
    received.clear();
    if (((SocketChannel) key.channel()).read(received) < 0) {
      onClosed(key);
    }
  }

  private void onClosed(SelectionKey key) throws IOException {
    key.channel().close();
    sent.countDown();
    if (reopenings > 0) {
      reopenings--;
      open();
    }
  }

  private void closeAll() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      throw new IllegalStateException("connections of the crowd cannot be closed", e);
    }
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    thread.join(STOP_TIMEOUT_MS);
  }
}
