/**
 * The prompt parts that an engine is assumed to hold in its prefix cache.
 */
import {type PromptPart} from './gateway_headers.js';

/** Parts kept where the size of the engine's cache is unknown. */
const MAX_PARTS = 4_096;

/**
 * Parts kept where the size of the cache is known. It bounds the memory of the
 * gateway if prompts consist of many tiny parts.
 */
const MAX_PARTS_OF_KNOWN_CACHE = 16_384;

/** A part's tokens by its id; parts of unknown size are absent. */
export type PartSizes = ReadonlyMap<string, number>;

const NO_SIZES: PartSizes = new Map();

interface WarmPart {
  /** When the part's prefill is done, monotonic milliseconds. */
  readonly prefilledAt: number;
  /** Undefined for a part of which only another gateway has reported the id. */
  readonly tokens: number | undefined;
}

/** The parts in one engine's cache, as far as this gateway knows. */
export class WarmParts {
  /** The least recently used part is first. */
  readonly #parts = new Map<string, WarmPart>();
  #sizedParts = 0;
  #sizedTokens = 0;

  /** Tokens of all parts; a part of unknown size counts as the mean part. */
  get tokens(): number {
    if (this.#sizedParts === 0) return 0;
    return (this.#sizedTokens / this.#sizedParts) * this.#parts.size;
  }

  /**
   * A cached part is usable only if all the parts before it are cached too.
   *
   * @param parts a prompt's parts, in order
   * @param prefilledBy when their prefill must be done, monotonic milliseconds
   * @returns tokens that the engine does not hold, as far as is known
   */
  coldTokens(parts: readonly PromptPart[], prefilledBy: number): number {
    const firstCold = parts.findIndex(
      ({id}) => (this.#parts.get(id)?.prefilledAt ?? Infinity) >= prefilledBy,
    );
    if (firstCold < 0) return 0;
    return parts.slice(firstCold).reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /**
   * @param ids parts that the engine holds or is computing
   * @param prefilledAt when their prefill is done, monotonic milliseconds
   * @param maxTokens size of the engine's cache, if known
   * @param sizes the parts' tokens, as far as known
   */
  note(
    ids: readonly string[],
    prefilledAt: number,
    maxTokens: number | undefined,
    sizes: PartSizes = NO_SIZES,
  ): void {
    for (const id of ids) {
      const before = this.#parts.get(id);
      this.#remove(id);
      this.#add(id, {
        prefilledAt: Math.min(before?.prefilledAt ?? Infinity, prefilledAt),
        tokens: sizes.get(id) ?? before?.tokens,
      });
    }
    this.#evict(maxTokens);
  }

  clear(): void {
    this.#parts.clear();
    this.#sizedParts = 0;
    this.#sizedTokens = 0;
  }

  #add(id: string, part: WarmPart): void {
    this.#parts.set(id, part);
    if (part.tokens === undefined) return;
    this.#sizedParts += 1;
    this.#sizedTokens += part.tokens;
  }

  #remove(id: string): void {
    const tokens = this.#parts.get(id)?.tokens;
    this.#parts.delete(id);
    if (tokens === undefined) return;
    this.#sizedParts -= 1;
    this.#sizedTokens -= tokens;
  }

  #evict(maxTokens: number | undefined): void {
    const maxParts =
      maxTokens === undefined ? MAX_PARTS : MAX_PARTS_OF_KNOWN_CACHE;
    for (const oldest of this.#parts.keys()) {
      const hasRoom = maxTokens === undefined || this.tokens <= maxTokens;
      if (hasRoom && this.#parts.size <= maxParts) return;
      this.#remove(oldest);
    }
  }
}
