/**
 * A host of the model, and the invariants across all hosts.
 */
import {expect} from 'vitest';
import {type ConsensusCore} from '../../consensus_core.js';
import {
  type ConsensusStatus,
  type LogEntry,
  type MemberId,
  type MemberList,
} from '../../consensus_types.js';
import {ModelDisk} from './consensus_model_disk.js';

/** The model's state machine: a digest of all entries up to an index. */
export interface AppliedState {
  index: number;
  digest: number;
}

/** One host. A crash loses its core, and maybe unsynced writes of its disk. */
export class ModelHost {
  core: ConsensusCore | undefined;
  state: AppliedState = {index: 0, digest: 0};
  members: MemberList = [];
  /** Model time of its last crash, 0 before the first. */
  crashedAt = 0;
  /** Rate of the host's clock, relative to the model's. */
  rate = 1;
  /** What the host's clock shows at model time 0. */
  offset = 0;
  /** Terms of the host's pending proposals, by index. */
  readonly proposals = new Map<number, number>();
  /** Committed index at the start of each pending read, by token. */
  readonly reads = new Map<number, number>();
  disk: ModelDisk;

  constructor(
    readonly address: string,
    id: MemberId,
  ) {
    this.disk = new ModelDisk(id);
  }
}

function mixDigest(digest: number, entry: LogEntry): number {
  let mixed = Math.imul(digest ^ entry.index, 0x9e3779b1) ^ entry.term;
  for (const byte of entry.data) mixed = Math.imul(mixed ^ byte, 0x01000193);
  return mixed >>> 0;
}

export function encodeState(state: AppliedState): Uint8Array {
  return Buffer.from(JSON.stringify(state));
}

/** Records committed entries and leaders, and checks every host against them. */
export class ModelOracle {
  /** Digest of the state after each committed index. */
  readonly #digests: number[] = [0];
  readonly #committed: LogEntry[] = [];
  readonly #leaders = new Map<number, MemberId>();

  get committedIndex(): number {
    return this.#committed.length;
  }

  /** Number of terms that had a leader. */
  get terms(): number {
    return this.#leaders.size;
  }

  /** Restores a host's state from a snapshot and checks its digest. */
  restore(host: ModelHost, index: number, data: Uint8Array): void {
    host.state = JSON.parse(Buffer.from(data).toString()) as AppliedState;
    expect(host.state.index).toBe(index);
    expect(host.state.digest).toBe(this.#digests[index]);
  }

  /** Checks that entries are applied in order and never change afterwards. */
  apply(host: ModelHost, entry: LogEntry): void {
    expect(entry.index).toBe(host.state.index + 1);
    const digest = mixDigest(host.state.digest, entry);
    const known = this.#digests[entry.index];
    if (known === undefined) {
      this.#digests.push(digest);
      this.#committed.push(entry);
    } else if (known !== digest) {
      throw new Error(`committed entry ${entry.index} was replaced`);
    }
    host.state = {index: entry.index, digest};
  }

  /** Checks election safety, and leader completeness for a new leader. */
  checkLeader(host: ModelHost, status: ConsensusStatus): void {
    const known = this.#leaders.get(status.term);
    if (known === host.disk.id) return;
    if (known !== undefined) throw new Error(`two leaders in ${status.term}`);
    this.#leaders.set(status.term, host.disk.id);
    for (const entry of this.#committed) {
      if (host.disk.latestTermAt(entry.index) === entry.term) continue;
      if (entry.index <= host.disk.latestSnapshotIndex) continue;
      throw new Error(
        `leader of term ${status.term} lacks entry ${entry.index}`,
      );
    }
  }

  /**
   * Checks log matching: entries with the same index and term are equal, and so
   * are the terms of their predecessors.
   */
  checkLogMatching(hosts: readonly ModelHost[]): void {
    const seen = new Map<string, string>();
    for (const {disk} of hosts) {
      let previousTerm: number | undefined;
      for (const entry of disk.latestEntries) {
        const key = `${entry.index} ${entry.term}`;
        const text = Buffer.from(entry.data).toString();
        expect(seen.get(key) ?? text).toBe(text);
        seen.set(key, text);
        const before = `${key} before`;
        if (previousTerm !== undefined) {
          expect(seen.get(before) ?? String(previousTerm)).toBe(
            String(previousTerm),
          );
          seen.set(before, String(previousTerm));
        }
        previousTerm = entry.term;
      }
    }
  }
}
