/**
 * Context migration: sends the KV cache of recently used chats to other servers
 * while draining.
 */
import {type Clock, type Logger} from '@lovagepond/core';
import {
  type KeyHasher,
  makeChatText,
  RendezvousTable,
} from '@lovagepond/router';
import {type Backend} from './sidecar_backend.js';
import {chatNumber} from './sidecar_cache_index.js';
import {type SidecarGate} from './sidecar_gate.js';
import {
  ByteRate,
  type NamedChat,
  type PlannedMove,
  planMoves,
  RecentChats,
} from './sidecar_kv_moves.js';
import {type Peer, type SidecarPeers} from './sidecar_peers.js';
import {expectedWarmTokens} from './sidecar_take.js';

const BUSY_CHECK_MS = 100;

export interface MoverDependencies {
  readonly gate: SidecarGate;
  readonly backend: Backend;
  readonly peers: SidecarPeers;
  readonly clock: Clock;
  readonly log: Logger;
  readonly hasher: KeyHasher;
  readonly moveBytesPerSecond: number;
  readonly maxMovedChats: number;
}

/** Moves caches one at a time, within the byte rate. */
export class SidecarCacheMover {
  readonly #deps: MoverDependencies;
  readonly #rate: ByteRate;
  #moved = 0;
  #movedBytes = 0;
  #running = false;
  readonly recent: RecentChats;

  constructor(deps: MoverDependencies) {
    this.#deps = deps;
    this.#rate = new ByteRate(deps.moveBytesPerSecond);
    this.recent = new RecentChats(deps.maxMovedChats);
  }

  /** @returns number of chats and bytes moved since the start */
  get counters(): {readonly moved: number; readonly movedBytes: number} {
    return {moved: this.#moved, movedBytes: this.#movedBytes};
  }

  /**
   * Moves caches until no request runs here any more. A chat whose answer is
   * still running at the start of the drain is moved after its answer ends.
   *
   * @param signal stops moving
   */
  async run(signal: AbortSignal): Promise<void> {
    const {backend, moveBytesPerSecond, gate} = this.#deps;
    if (backend.kind !== 'engine' || moveBytesPerSecond <= 0) return;
    if (this.#running) return;
    this.#running = true;
    const done = new Set<number>();
    while (!signal.aborted) {
      const wasIdle = gate.idle;
      await this.#moveAll(done, signal);
      if (wasIdle) break;
      await pause(BUSY_CHECK_MS, signal);
    }
    this.#running = false;
    this.#deps.log.info('caches moved', this.counters);
  }

  /** Moves each chat once; a draining server serves no later request of it. */
  async #moveAll(done: Set<number>, signal: AbortSignal): Promise<void> {
    for (const move of this.#plan()) {
      const number = chatNumber(move.workspace, move.chat);
      if (done.has(number)) continue;
      if (!(await this.#waitForRate(signal))) return;
      done.add(number);
      await this.#move(move);
    }
  }

  #plan(): PlannedMove[] {
    const {gate, peers, hasher} = this.#deps;
    // Routers will place these chats with the same rendezvous order over the
    // remaining servers.
    const table = new RendezvousTable<Peer>(peers.ready, hasher);
    return planMoves(this.recent.latest(), {
      warmTokens: ({workspace, chat}) =>
        expectedWarmTokens(gate.cache.read(workspace, chat)),
      nextServer: ({workspace, chat}: NamedChat) => {
        const key = hasher.hash(makeChatText(workspace, chat));
        const [index] = table.order(key, 1);
        return index === undefined ? undefined : table.servers[index];
      },
    });
  }

  async #waitForRate(signal: AbortSignal): Promise<boolean> {
    const waitMs = this.#rate.waitMs(this.#deps.clock.now());
    if (waitMs > 0 && !signal.aborted) await pause(waitMs, signal);
    return !signal.aborted;
  }

  async #move(move: PlannedMove): Promise<void> {
    const {backend, peers, clock} = this.#deps;
    if (backend.kind !== 'engine') return;
    const {workspace, chat, address} = move;
    const exported = await backend.engine.exportCache({workspace, chat});
    if (!exported.ok) return;
    const {bytes: cache, tokens} = exported.value;
    this.#rate.spend(cache.length, clock.now());
    const request = {workspace, chat, cache, tokens};
    if (!(await peers.moveCache(address, request))) return;
    this.#moved += 1;
    this.#movedBytes += cache.length;
  }
}

function pause(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal.addEventListener('abort', finish);
  });
}
