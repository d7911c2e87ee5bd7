package org.wheatwall.wire.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import org.wheatwall.core.common.Refusal;

/**
 * A request as it was received.
 *
 * @param call the call; without headers and body if it is rejected
 * @param headerBytes estimated size of its header lines in memory, bytes
 * @param rejection why it cannot be handled, if so; nothing behind it on the connection is read
 */
record ReceivedRequest(HttpCall call, int headerBytes, Optional<Rejection> rejection) {
  private static final byte[] NO_BODY = new byte[0];

  /** A reason, and the refusal that the caller gets. */
  record Rejection(RejectionReason reason, Refusal refusal) {}

  static ReceivedRequest of(HttpCall call, int headerBytes) {
    return new ReceivedRequest(call, headerBytes, Optional.empty());
  }

  static ReceivedRequest rejected(String target, RejectionReason reason, Refusal refusal) {
    HttpCall call = new HttpCall("", target, new DefaultHttpHeaders(), NO_BODY);
    return new ReceivedRequest(call, 0, Optional.of(new Rejection(reason, refusal)));
  }

  /** Returns the estimated size in memory, bytes. */
  long heldBytes() {
    return (long) headerBytes + call.body().length;
  }
}
