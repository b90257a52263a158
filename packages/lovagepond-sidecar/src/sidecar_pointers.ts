/**
 * Where this sidecar's first-choice chats were served last, when that was
 * elsewhere: one extra hop brings a returning chat to its context.
 */
import {chatNumber} from './sidecar_cache_index.js';

interface Pointer {
  readonly backendServer: string;
  readonly expiresAt: number;
  /** The request that was last sent along this pointer. */
  lastRequestId: string;
}

/** Settings of {@link SidecarPointers}. */
export interface PointersSettings {
  readonly maxPointers: number;
  readonly pointerLifetimeMs: number;
}

/** Bounded, expiring pointers; the oldest goes first. */
export class SidecarPointers {
  readonly #settings: PointersSettings;
  readonly #pointers = new Map<number, Pointer>();
  /** Names are shared, so that a pointer costs no string of its own. */
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
   * @param backendServer where it was served
   * @param now present time
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
   * Finds where a request should go. A request that comes back after it was
   * sent along the pointer shows that nobody is there any more: sent along it
   * again, it would bounce between two servers until its deadline.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param requestId the request
   * @param now present time
   * @returns a backend server, or undefined
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
   * The chat is served here again.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   */
  remove(workspace: string, chat: string): void {
    if (this.#pointers.size === 0) return;
    this.#pointers.delete(chatNumber(workspace, chat));
  }

  /** @param now present time; expired pointers at the old end go */
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
