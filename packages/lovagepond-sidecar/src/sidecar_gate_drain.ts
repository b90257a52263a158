/**
 * Refuses attempts that wait for their claim when the sidecar exits too soon to
 * run them.
 */
import {ATTEMPT_STATE} from './sidecar_attempts.js';
import {type GateComponents} from './sidecar_gate_components.js';
import {makeRefusal} from './sidecar_gate_refusals.js';
import {type Run} from './sidecar_runs.js';
import {type GateAction} from './sidecar_types.js';

/**
 * @param components components of a gate
 * @param now current time
 * @returns the releases and refusals of all such attempts
 */
export function refuseLateClaims(
  components: GateComponents,
  now: number,
): GateAction[] {
  const {drain, runs} = components;
  if (!drain.draining) return [];
  return runs.all().flatMap(run => refuseLateClaim(components, run, now));
}

/**
 * @param components components of a gate
 * @param run an attempt
 * @param now current time
 * @returns its release and refusal; nothing if it can still be run or was
 *     dispatched
 */
export function refuseLateClaim(
  {hold, attempts, runs}: GateComponents,
  {offer}: Run,
  now: number,
): GateAction[] {
  const {attemptId} = offer;
  const isClaiming = attempts.stateOf(attemptId) === ATTEMPT_STATE.CLAIMING;
  if (!isClaiming || hold.mayServe(offer, 0, now)) return [];
  attempts.refuse(attemptId, now);
  runs.end(attemptId, now);
  return [
    {kind: 'releaseClaim', attemptId},
    makeRefusal(attemptId, 'draining'),
  ];
}
