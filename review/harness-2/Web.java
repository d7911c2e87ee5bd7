package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The HTTP side of a stand-in. */
final class Web {
  /** An answer; without a status the call stays unanswered and its connection is closed. */
  record Answer(int status, byte[] body) {
    static final Answer NONE = new Answer(0, new byte[0]);

    static Answer json(int status, String body) {
      return new Answer(status, body.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** A call. */
  record Call(
      String method, String path, Map<String, String> query, byte[] body, HttpExchange exchange) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    String header(String name) {
      String value = exchange.getRequestHeaders().getFirst(name);
      return value == null ? "" : value;
    }

    long number(String name, long otherwise) {
      String value = query.get(name);
      return value == null ? otherwise : Long.parseLong(value);
    }
  }

  interface Handler {
    Answer handle(Call call) throws Exception;
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Web::daemon);

  Web(String ip, Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 500);
    server.setExecutor(threads);
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String raw = exchange.getRequestURI().getRawQuery();
      Map<String, String> query = new HashMap<>();
      for (String part : raw == null ? new String[0] : raw.split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
      Answer answer =
          handler.handle(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getPath(),
                  query,
                  body,
                  exchange));
      if (answer.status() != 0) {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(
            answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
        try (OutputStream out = exchange.getResponseBody()) {
          out.write(answer.body());
        }
      }
    } catch (Exception e) {
      if (!(e instanceof IOException)) {
        e.printStackTrace();
      }
    } finally {
      exchange.close();
    }
  }
}
