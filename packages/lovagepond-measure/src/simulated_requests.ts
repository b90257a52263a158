/**
 * Draws the requests of a gateway simulation.
 */
import {type Random} from '@lovagepond/core';
import {type PromptPart} from '@lovagepond/gateway/deciders';
import {type SimulatedRequestKind} from './gateway_simulation_types.js';
import {drawLength} from './simulated_draws.js';
import {type SimulatedRequest} from './simulated_gateway.js';

export class SimulatedRequests {
  readonly #random: Random;
  readonly #nextId: () => number;
  readonly #partLengths = new Map<string, number>();
  /** Share of the requests with the same shared prompt parts. */
  hotShare = 0;

  /**
   * @param random draws prompts, lengths and processing times
   * @param nextId returns a number that no other request has
   */
  constructor(random: Random, nextId: () => number) {
    this.#random = random;
    this.#nextId = nextId;
  }

  /**
   * @param kind the request's kind
   * @param now virtual time, milliseconds
   * @returns a request that arrives now
   */
  draw(kind: SimulatedRequestKind, now: number): SimulatedRequest {
    const {prompt, workMs} = kind;
    return {
      kind,
      at: now,
      parts: prompt ? this.#drawParts(kind, prompt) : [],
      events: prompt ? Math.max(1, drawLength(this.#random, prompt.events)) : 0,
      workMs: workMs ? drawLength(this.#random, workMs) : 0,
    };
  }

  #drawParts(
    {name}: SimulatedRequestKind,
    {shared, own}: NonNullable<SimulatedRequestKind['prompt']>,
  ): readonly PromptPart[] {
    const isHot = this.#random.next() < this.hotShare;
    // Each part is preceded by the same parts in all prompts: gateways identify
    // a part by its id alone, whereas engines cache it with the parts before it.
    const leafIndex = isHot ? 0 : this.#random.below(shared.at(-1)?.count ?? 1);
    const parts = shared.map(({tokens, count}, level) => {
      const index = leafIndex % count;
      const id = `${name}.${level}.${index}`;
      const length =
        this.#partLengths.get(id) ?? drawLength(this.#random, tokens);
      this.#partLengths.set(id, length);
      return {id, tokens: length};
    });
    const ownPart = {
      id: `own.${this.#nextId()}`,
      tokens: drawLength(this.#random, own),
    };
    return [...parts, ownPart];
  }
}
