/**
 * Attempts as routers send them, with only what a scenario tells.
 */
import {type Offer} from '@lovagepond/sidecar';

/**
 * @param server the backend server that is meant
 * @param attemptId names the attempt; its request has the same id
 * @param overrides what differs from the usual request
 * @returns the attempt
 */
export function makeOffer(
  server: string,
  attemptId: string,
  overrides: Partial<Offer> = {},
): Offer {
  return {
    requestId: attemptId,
    attemptId,
    incarnation: `${server}-1`,
    workspace: 'gutscheinwerk',
    chat: '',
    tokens: 1_000,
    priority: 5,
    deadlineAt: Infinity,
    nonRepeatable: false,
    revision: 0,
    firstChoice: '',
    handOvers: 0,
    poolMeanTokens: 0,
    ...overrides,
  };
}
