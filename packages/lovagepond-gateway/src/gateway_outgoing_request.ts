/**
 * Builds the request that an attempt sends to a server.
 */
import {type OutgoingRequest} from './gateway_attempt.js';
import {type ServerChoice} from './gateway_choice.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type GatewayHeaderNames, headersForServer} from './gateway_headers.js';

const HIGHEST_PRIORITY = 9;

/** What differs between the attempts of a request, besides the server. */
interface AttemptFacts {
  readonly names: GatewayHeaderNames;
  /** Id of the last event that the caller got; undefined if none. */
  readonly lastId: number | undefined;
  /** Current time, monotonic milliseconds. */
  readonly now: number;
}

/**
 * @param req the caller's request
 * @param choice the server, and where it fetches the prompt's context from
 * @param facts the facts of the attempt
 * @returns the request for the server
 */
export function toOutgoing(
  req: AdmittedRequest,
  {state, fetch}: ServerChoice,
  {names, lastId, now}: AttemptFacts,
): OutgoingRequest {
  const {method, path, rawHeaders, body, workspace, priority} = req;
  const headers = headersForServer(rawHeaders, names, {
    deadlineMs: req.deadlineAt - now,
    workspace,
    instance: state.server.incarnation,
    enginePriority: req.rule.forwarding.sticky
      ? HIGHEST_PRIORITY - priority
      : undefined,
    contextSource: fetch?.source?.server.address,
    lastEventId: lastId === undefined ? undefined : String(lastId),
  });
  return {method, path, headers, body};
}
