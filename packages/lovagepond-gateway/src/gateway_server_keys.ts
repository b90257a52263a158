/**
 * The listed servers by the hash keys that datagrams name them with.
 */
import {type HashKey, type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {textOfKey} from './gateway_stream_records.js';

/** Servers that are no longer listed and still known. */
const MAX_FORMER = 2_048;

export class ServerKeys {
  readonly #hasher: KeyHasher;
  #names: ReadonlyMap<string, string> = new Map();
  /** Texts of the keys of servers that were listed before. */
  readonly #former = new Set<string>();

  /** @param hasher the hash function of all gateways */
  constructor(hasher: KeyHasher) {
    this.#hasher = hasher;
  }

  /** @param listed names of the servers that control lists */
  useListed(listed: Iterable<string>): void {
    const names = [...listed].map(
      name => [textOfKey(this.keyOf(name)), name] as const,
    );
    const present = new Map(names);
    for (const text of this.#names.keys()) {
      if (!present.has(text)) this.#former.add(text);
    }
    this.#names = present;
    for (const oldest of this.#former) {
      if (this.#former.size <= MAX_FORMER) return;
      this.#former.delete(oldest);
    }
  }

  /**
   * @param key a server's key
   * @returns true if it was listed and isn't any more
   */
  isFormer(key: HashKey): boolean {
    const text = textOfKey(key);
    return !this.#names.has(text) && this.#former.has(text);
  }

  /**
   * @param name a server's name
   * @returns its key
   */
  keyOf(name: string): HashKey {
    return this.#hasher.hash(name);
  }

  /**
   * @param key a server's key
   * @returns its name, if it is listed
   */
  nameOf(key: HashKey): string | undefined {
    return this.#names.get(textOfKey(key));
  }
}
