package org.wheatwall.wire.http;

/** Why a server refused a request, or closed a connection on which no call was being handled. */
public enum RejectionReason {
  /** The request is malformed, or two servers could frame it differently. */
  MALFORMED("malformed"),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large"),
  /** As many calls are in flight, or as large ones, as the limits allow. */
  CALL_LIMIT("call-limit"),
  /** The server is stopping. */
  STOPPING("stopping"),
  /** Callers hold as much memory as the limit allows, and this one holds much of it for long. */
  MEMORY_LIMIT("memory-limit"),
  /** As many connections are open as the limit allows, and this one has had no call for longest. */
  CONNECTION_LIMIT("connection-limit"),
  /** Too many requests wait behind another one of their connection. */
  PIPELINE_LIMIT("pipeline-limit"),
  /** The request did not arrive in time. */
  REQUEST_TIMEOUT("request-timeout"),
  /** The caller does not read its response. */
  RESPONSE_TIMEOUT("response-timeout"),
  /** The connection failed. */
  CONNECTION_FAILED("connection-failed");

  private final String label;

  RejectionReason(String label) {
    this.label = label;
  }

  /** Returns the stable name used in metrics and log lines. */
  public String label() {
    return label;
  }
}
