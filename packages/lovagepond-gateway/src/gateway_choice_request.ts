/**
 * Builds the input of the selection of a server.
 */
import {type ChoiceRequest} from './gateway_choice.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';

/**
 * @param req the caller's request
 * @param servers the servers to select from
 * @returns the request for the selection
 */
export function toChoiceRequest(
  {pool, facts, rule}: Pick<AdmittedRequest, 'pool' | 'facts' | 'rule'>,
  servers: Pick<ChoiceRequest, 'servers' | 'holders' | 'tried' | 'listed'>,
): ChoiceRequest {
  const {sticky, streaming: isStream, targetLatencyMs} = rule.forwarding;
  return {
    ...servers,
    pool,
    parts: facts.parts,
    sticky,
    work: {kind: rule.kind, isStream},
    targetLatencyMs,
    repeatable: !rule.nonRepeatable,
  };
}
