package org.wheatwall.wire.peer;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.message.Envelope;

/** Answers requests of other entry hosts. Called on an event loop, so it must not block. */
public interface PeerHandler {
  /** Returns the reply; its identifier is filled in by the transport. */
  CompletableFuture<Envelope.Builder> handle(Envelope request);
}
