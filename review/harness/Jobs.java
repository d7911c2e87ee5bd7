package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the clients submitted, which tells the runners how long a task takes, and what the runners
 * ran. Shared by all stand-ins.
 */
final class Jobs {
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();

  /**
   * A job of one or more steps that run one after the other.
   *
   * @param id identifier of 16 hex digits
   */
  record Job(String id, List<Step> steps) {
    ObjectNode body() {
      ObjectNode body = Http.JSON.createObjectNode().put("spec", "review " + id);
      ArrayNode list = body.putArray("steps");
      for (int i = 0; i < steps.size(); i++) {
        ObjectNode step = list.addObject();
        steps.get(i).describe(step);
        if (i > 0) {
          step.putArray("after_rev").add(i - 1);
        }
      }
      return body;
    }
  }

  /**
   * Equal tasks.
   *
   * @param runMs how long a task takes on a sound runner
   * @param constraint label that the runner must have, or an empty text
   * @param spread most tasks of the step on one runner, or 0
   */
  record Step(
      int count,
      int cpu,
      int memory,
      int gpu,
      int estimateMs,
      int runMs,
      boolean gang,
      boolean lasting,
      String constraint,
      int spread) {
    private void describe(ObjectNode step) {
      step.put("count", count).put("cpu", cpu).put("mem_mb", memory).put("gpu", gpu);
      step.put("estimate_ms", estimateMs);
      if (gang) {
        step.put("gang", true);
      }
      if (lasting) {
        step.put("long_running", true);
      }
      if (!constraint.isEmpty()) {
        step.put("constraints", constraint);
      }
      if (spread > 0) {
        step.put("anti_affinity", spread);
      }
    }
  }

  /** A start on a runner and its end. Times are seconds of the record; an open run has no end. */
  static final class Run {
    final String task;
    final int number;
    final String runner;
    final double startedAt;
    volatile double endedAt = Double.NaN;
    volatile String how = "";

    Run(String task, int number, String runner, double startedAt) {
      this.task = task;
      this.number = number;
      this.runner = runner;
      this.startedAt = startedAt;
    }

    boolean isOpen() {
      return Double.isNaN(endedAt);
    }

    String job() {
      return task.substring(0, task.indexOf('.'));
    }
  }

  synchronized void add(Job job) {
    jobs.put(job.id(), job);
  }

  synchronized Step step(String task) {
    String[] parts = task.split("\\.");
    return jobs.get(parts[0]).steps().get(Integer.parseInt(parts[2]));
  }

  synchronized Run start(String task, int number, String runner, double atSeconds) {
    Run run = new Run(task, number, runner, atSeconds);
    runs.add(run);
    return run;
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  List<Run> runsOf(String job) {
    return runs().stream().filter(run -> run.job().equals(job)).toList();
  }

  List<Run> openRunsOf(String job) {
    return runsOf(job).stream().filter(Run::isOpen).toList();
  }
}
