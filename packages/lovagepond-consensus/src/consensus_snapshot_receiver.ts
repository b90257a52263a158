/**
 * Assembles a snapshot from its chunks.
 */
import {type SnapshotChunk} from './consensus_messages.js';
import {type Snapshot} from './consensus_types.js';

/** Collects the chunks of one snapshot at a time. */
export class SnapshotReceiver {
  #key = '';
  #chunks: Uint8Array[] = [];
  #received = 0;

  /**
   * @param chunk a chunk; ignored unless it follows the previous one
   * @returns the next offset expected
   */
  add(chunk: SnapshotChunk): number {
    // Snapshots of different leaders at the same index may differ.
    const key = `${chunk.from} ${chunk.term} ${chunk.snapshotIndex}`;
    if (key !== this.#key) this.#restart(key);
    if (chunk.offset === this.#received && chunk.data.length > 0) {
      this.#chunks.push(chunk.data);
      this.#received += chunk.data.length;
    }
    return this.#received;
  }

  /**
   * @param chunk the chunk added last
   * @returns the whole snapshot, once it is complete; undefined before
   */
  take(chunk: SnapshotChunk): Snapshot | undefined {
    if (this.#received !== chunk.totalBytes) return undefined;
    const data = Buffer.concat(this.#chunks);
    this.#restart('');
    return {
      index: chunk.snapshotIndex,
      term: chunk.snapshotTerm,
      members: chunk.members,
      data,
    };
  }

  #restart(key: string): void {
    this.#key = key;
    this.#chunks = [];
    this.#received = 0;
  }
}
