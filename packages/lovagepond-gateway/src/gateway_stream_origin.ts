/**
 * Which backend servers may continue a stream.
 *
 * Servers of one pool may run several software versions, and what two versions
 * write doesn't fit together. Servers don't check this, so a stream is bound to
 * the version of the server that sent its first event.
 */
import {type BackendServer} from '@lovagepond/core';

/** The servers that can continue a stream. */
export interface StreamOrigin {
  readonly pool: string;
  /** Their software version; empty where servers report none. */
  readonly version: string;
}

/**
 * @param server the server that sent a stream's first event
 * @returns the servers that can continue the stream
 */
export function originOf({pool, labels}: BackendServer): StreamOrigin {
  return {pool, version: labels['version'] ?? ''};
}

/** @returns true if both name the same servers */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.pool === b.pool && a.version === b.version;
}

/** Binds one request to the servers that can continue its stream. */
export class StreamBinding {
  #origin: StreamOrigin | undefined;

  /** @param origin set when the request continues a stream */
  constructor(origin?: StreamOrigin) {
    this.#origin = origin;
  }

  /** Unset before the first event of the stream. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /**
   * @param server the server that sent an event
   * @returns the origin if it was the stream's first event
   */
  bind(server: BackendServer): StreamOrigin | undefined {
    if (this.#origin) return undefined;
    this.#origin = originOf(server);
    return this.#origin;
  }

  /**
   * @param server a server
   * @returns true if the request may be sent to it
   */
  admits(server: BackendServer): boolean {
    return !this.#origin || isSameOrigin(this.#origin, originOf(server));
  }
}
