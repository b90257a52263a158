/**
 * Creates gates and offers for the sidecar's measurements.
 */
import {Random} from '@lovagepond/core';
import {
  DEFAULT_GATE_POLICY,
  DEFAULT_GATE_SETTINGS,
  type GatePolicy,
  type GateSettings,
  type Offer,
  SidecarGate,
} from '@lovagepond/sidecar';

const INCARNATION = 'measured';

/**
 * @param settings overrides of the default settings
 * @param policy overrides of the default policy
 * @returns a configured gate
 */
export function makeMeasuredGate(
  settings: Partial<GateSettings> = {},
  policy: Partial<GatePolicy> = {},
): SidecarGate {
  const gate = new SidecarGate(
    {
      ...DEFAULT_GATE_SETTINGS,
      backendServer: 'server-0',
      incarnation: INCARNATION,
      ...settings,
    },
    new Random(1),
  );
  gate.configure({...DEFAULT_GATE_POLICY, ...policy}, 0);
  return gate;
}

/**
 * @param attemptId id of a new attempt
 * @param overrides what differs from a short chat request
 * @returns its offer
 */
export function makeMeasuredOffer(
  attemptId: string,
  overrides: Partial<Offer> = {},
): Offer {
  return {
    requestId: attemptId,
    attemptId,
    incarnation: INCARNATION,
    workspace: 'workspace-0',
    chat: attemptId,
    tokens: 700,
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
