/**
 * Hashes chats and backend servers identically on every router.
 */
import xxhash from 'xxhash-wasm';

const FIRST_SEED = 0x51ed270b;
const SECOND_SEED = 0x2545f491;

/** 64 bits of a hash as two unsigned 32-bit words. */
export interface HashKey {
  readonly low: number;
  readonly high: number;
}

/** Hashes texts; created once at the start of the process. */
export interface KeyHasher {
  /** @returns the hash key of a text */
  hash(text: string): HashKey;
}

/** @returns the hasher, once its WebAssembly module is ready */
export async function loadKeyHasher(): Promise<KeyHasher> {
  const {h32} = await xxhash();
  return {
    hash: text => ({low: h32(text, FIRST_SEED), high: h32(text, SECOND_SEED)}),
  };
}

/**
 * @param workspace a workspace's name, which holds no NUL character
 * @param chat the chat's name in that workspace
 * @returns the text to hash for placing the chat
 */
export function makeChatText(workspace: string, chat: string): string {
  return `${workspace}\u0000${chat}`;
}
