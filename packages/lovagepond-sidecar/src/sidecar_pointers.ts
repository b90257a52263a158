/**
 * Pointers from chats whose first choice is this server to the other servers
 * that served them last. A returning chat reaches its cached context with one
 * extra hop.
 */
import {chatNumber} from './sidecar_cache_index.js';

interface Pointer {
  readonly backendServer: string;
  readonly expiresAt: number;
  /** The last request that was redirected by this pointer. */
  lastRequestId: string;
}

export interface PointersSettings {
  readonly maxPointers: number;
  readonly pointerLifetimeMs: number;
}

/** Bounded table of expiring pointers; the oldest is evicted first. */
export class SidecarPointers {
  readonly #settings: PointersSettings;
  readonly #pointers = new Map<number, Pointer>();
  /** Interned names, so that all pointers to a server share one string. */
  readonly #names = new Map<string, string>();

  constructor(settings: PointersSettings) {
    this.#settings = settings;
  }

  /** @returns number of pointers kept */
  get size(): number {
    return this.#pointers.size;
  }

  /**
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param backendServer backend server that served the chat
   * @param now current time
   */
  put(
    workspace: string,
    chat: string,
    backendServer: string,
    now: number,
  ): void {
    const number = chatNumber(workspace, chat);
    const expiresAt = now + this.#settings.pointerLifetimeMs;
    const name = this.#internName(backendServer);
    this.#pointers.delete(number);
    this.#pointers.set(number, {
      backendServer: name,
      expiresAt,
      lastRequestId: '',
    });
    if (this.#pointers.size <= this.#settings.maxPointers) return;
    const oldest = this.#pointers.keys().next().value;
    if (oldest !== undefined) this.#pointers.delete(oldest);
  }

  /**
   * Finds where to redirect a request. If a request returns after it was
   * redirected, the pointer's server no longer serves the chat, and the pointer
   * is removed. Otherwise the request would bounce between two servers until
   * its deadline.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param requestId the request
   * @param now current time
   * @returns a backend server; undefined when there is no valid pointer
   */
  lookUp(
    workspace: string,
    chat: string,
    requestId: string,
    now: number,
  ): string | undefined {
    if (chat === '' || this.#pointers.size === 0) return undefined;
    const number = chatNumber(workspace, chat);
    const pointer = this.#pointers.get(number);
    if (!pointer) return undefined;
    if (pointer.expiresAt <= now || pointer.lastRequestId === requestId) {
      this.#pointers.delete(number);
      return undefined;
    }
    pointer.lastRequestId = requestId;
    return pointer.backendServer;
  }

  /**
   * Removes the pointer of a chat that is served here again.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   */
  remove(workspace: string, chat: string): void {
    if (this.#pointers.size === 0) return;
    this.#pointers.delete(chatNumber(workspace, chat));
  }

  /** @param now current time */
  expire(now: number): void {
    for (const [number, pointer] of this.#pointers) {
      if (pointer.expiresAt > now) return;
      this.#pointers.delete(number);
    }
    if (this.#pointers.size === 0) this.#names.clear();
  }

  #internName(name: string): string {
    const known = this.#names.get(name);
    if (known !== undefined) return known;
    if (this.#names.size > this.#settings.maxPointers) this.#names.clear();
    this.#names.set(name, name);
    return name;
  }
}
