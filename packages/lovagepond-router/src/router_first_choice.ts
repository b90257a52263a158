/**
 * Rendezvous order of backend servers for a chat.
 *
 * Two routers with differing lists disagree about a chat only when the server
 * that they disagree about is that chat's first choice.
 */
import {type BackendServer} from '@lovagepond/core';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hashText(seed: number, text: string): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

/** Spreads the low entropy of the last characters over all bits. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * @param key what the order is for, such as workspace and chat
 * @param servers the servers to choose from
 * @param excluded names not to choose
 * @returns the first server in the key's order, or undefined when none is left
 */
export function chooseByRendezvous(
  key: string,
  servers: readonly BackendServer[],
  excluded: ReadonlySet<string>,
): BackendServer | undefined {
  const keyHash = hashText(FNV_OFFSET, key);
  let best: BackendServer | undefined;
  let bestScore = -1;
  for (const server of servers) {
    if (excluded.has(server.name)) continue;
    const score = mix(hashText(keyHash, server.name));
    if (score <= bestScore) continue;
    best = server;
    bestScore = score;
  }
  return best;
}
