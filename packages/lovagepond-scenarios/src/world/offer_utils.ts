/**
 * Attempts as routers send them, with defaults for most fields.
 */
import {type Offer} from '@lovagepond/sidecar';

/**
 * @param server the target backend server
 * @param attemptId id of the attempt, also the id of its request
 * @param overrides fields that differ from the defaults
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
