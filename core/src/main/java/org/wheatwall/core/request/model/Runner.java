package org.wheatwall.core.request.model;

/**
 * One runner (backend server) of a service as the platform lists it.
 *
 * @param address IP number and port, {@code a.b.c.d:port}
 * @param draining whether it must receive no new work
 * @param slots requests it takes at once
 */
public record Runner(
    String name, String service, String zone, String address, boolean draining, int slots) {}
