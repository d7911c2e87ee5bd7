package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP and JSON helpers of the stand-ins. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** Starts a server on a free port of a loopback address. */
  static HttpServer serve(String ip, HttpHandler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
    server.setExecutor(THREADS);
    server.createContext("/", handler);
    server.start();
    return server;
  }

  static String address(HttpServer server) {
    InetSocketAddress address = server.getAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns a port of a loopback address that is free now. */
  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  static JsonNode json(byte[] bytes) throws IOException {
    return JSON.readTree(bytes);
  }

  static byte[] bytes(JsonNode node) throws IOException {
    return JSON.writeValueAsBytes(node);
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        values.put(
            URLDecoder.decode(part.substring(0, equals), StandardCharsets.UTF_8),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    reply(exchange, status, bytes(body));
  }

  static void run(Runnable task) {
    THREADS.execute(task);
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
