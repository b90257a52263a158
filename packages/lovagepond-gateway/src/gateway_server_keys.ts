/**
 * The listed servers by the hash keys that datagrams name them with.
 */
import {type HashKey, type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {textOfKey} from './gateway_stream_records.js';

export class ServerKeys {
  readonly #hasher: KeyHasher;
  #names: ReadonlyMap<string, string> = new Map();

  /** @param hasher the hash function of all gateways */
  constructor(hasher: KeyHasher) {
    this.#hasher = hasher;
  }

  /** @param listed names of the servers that control lists */
  useListed(listed: Iterable<string>): void {
    const names = [...listed].map(
      name => [textOfKey(this.keyOf(name)), name] as const,
    );
    this.#names = new Map(names);
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
