package org.wheatwall.wire.peer;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.message.Envelope;

/** Handles requests of other entry hosts. Called on an event loop, so it must not block. */
public interface PeerHandler {
  /** Returns the reply; its identifier is set by the server. */
  CompletableFuture<Envelope.Builder> handle(Envelope request);
}
