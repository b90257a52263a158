/**
 * Estimates the properties of a request that placement uses.
 */
import {type CallerRequest} from '@lovagepond/caller';
import {type PlacementRequest} from './router_placement.js';

/** Average length of a token in a request's JSON. */
const BYTES_PER_TOKEN = 4;

const ANSWER_ROLE = '"assistant"';

/**
 * Whether the request continues a chat: its messages then contain earlier
 * answers.
 *
 * @param request a caller's request
 * @returns true when a request of the same chat was answered before
 */
export function isReturning(request: CallerRequest): boolean {
  const {chat, body} = request;
  if (chat === '') return false;
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  return bytes.includes(ANSWER_ROLE);
}

/**
 * @param request a caller's request
 * @param returning see {@link isReturning}
 * @returns the placement policy's input
 */
export function describeForPlacement(
  request: CallerRequest,
  returning: boolean,
): PlacementRequest {
  const {workspace, chat, estimatedTokens, body, requestId} = request;
  return {
    workspace,
    // A request without a chat is hashed by its own id.
    chat: chat || requestId,
    estimatedTokens,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    returning,
  };
}
