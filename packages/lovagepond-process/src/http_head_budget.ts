/**
 * Limits the memory of the incomplete heads of all connections of a server.
 */
import {type Socket} from 'node:net';

export class HeadBudget {
  readonly #limitBytes: number;
  readonly #bytes = new Map<Socket, number>();
  #heldBytes = 0;

  /** @param limitBytes limit on all incomplete heads, bytes */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /**
   * @param socket a connection
   * @param bytes further bytes of its incomplete head
   * @returns the bytes of this head so far
   */
  add(socket: Socket, bytes: number): number {
    const held = (this.#bytes.get(socket) ?? 0) + bytes;
    this.#bytes.set(socket, held);
    this.#heldBytes += bytes;
    return held;
  }

  /** @param socket a connection whose head is complete, or that is closed */
  clear(socket: Socket): void {
    const held = this.#bytes.get(socket);
    if (held === undefined) return;
    this.#bytes.delete(socket);
    this.#heldBytes -= held;
  }

  /** @returns the connection that has to give way, if one has to */
  findExcess(): Socket | undefined {
    if (this.#heldBytes <= this.#limitBytes) return undefined;
    let largest: Socket | undefined;
    let most = 0;
    for (const [socket, bytes] of this.#bytes) {
      if (bytes <= most) continue;
      largest = socket;
      most = bytes;
    }
    return largest;
  }
}
