/**
 * What placement needs to know of a request's body, estimated.
 */
import {type CallerRequest} from '@lovagepond/caller';
import {type PlacementRequest} from './router_placement.js';

/** A token's length in a request's JSON, on average. */
const BYTES_PER_TOKEN = 4;

const ANSWER_ROLE = '"assistant"';

/**
 * A chat that returns brings its earlier answers along in its messages.
 *
 * @param request a caller's request
 * @returns true when its chat was answered before
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
 * @returns the request as placement sees it
 */
export function describeForPlacement(
  request: CallerRequest,
  returning: boolean,
): PlacementRequest {
  const {workspace, chat, estimatedTokens, body, requestId} = request;
  return {
    workspace,
    // Calls outside of any chat spread by their own names.
    chat: chat || requestId,
    estimatedTokens,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    returning,
  };
}
