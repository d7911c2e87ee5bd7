package org.wheatwall.core.request.model;

/**
 * One runner (backend server) of a service as the platform lists it.
 *
 * @param address IP address and port, {@code a.b.c.d:port}
 * @param draining whether it must receive no new requests
 * @param slots maximum number of concurrent requests
 */
public record Runner(
    String name, String service, String zone, String address, boolean draining, int slots) {}
