package review;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A client of the queues: hands in, asks for and cancels jobs. */
final class Client {
  private static final int DEADLINE_MS = 3000;

  private final Record record;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .build();

  /**
   * An answer.
   *
   * @param status status, 0 if there was none
   */
  record Answer(int status, String body) {}

  Client(Record record) {
    this.record = record;
  }

  Answer post(Daemon daemon, Platform.Queue queue, Jobs.Job job) {
    String body = job.body().toString();
    return send(
        daemon, "POST", queue.prefix() + job.id(), HttpRequest.BodyPublishers.ofString(body));
  }

  Answer get(Daemon daemon, Platform.Queue queue, String job) {
    return send(daemon, "GET", queue.prefix() + job, HttpRequest.BodyPublishers.noBody());
  }

  Answer delete(Daemon daemon, Platform.Queue queue, String job) {
    return send(daemon, "DELETE", queue.prefix() + job, HttpRequest.BodyPublishers.noBody());
  }

  /** Asks for the number of jobs of a queue that have not begun. */
  Answer count(Daemon daemon, Platform.Queue queue) {
    return send(daemon, "GET", queue.prefix(), HttpRequest.BodyPublishers.noBody());
  }

  private Answer send(
      Daemon daemon, String method, String path, HttpRequest.BodyPublisher body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + daemon.front() + path))
            .timeout(Duration.ofMillis(DEADLINE_MS))
            .header("Host", Platform.HOST)
            .header("Authorization", "Token " + Platform.KEY)
            .header("Content-Type", "application/json")
            .header("X-Deadline-Ms", String.valueOf(DEADLINE_MS))
            .method(method, body)
            .build();
    Answer answer;
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (java.io.IOException e) {
      answer = new Answer(0, e.getClass().getSimpleName());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      answer = new Answer(0, "interrupted");
    }
    record.line(
        "client: %s %s at %s -> %d %s", method, path, daemon.name(), answer.status(), answer.body());
    return answer;
  }
}
