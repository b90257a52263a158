/**
 * Reads the settings of one pool's gate from the operators' configuration.
 */
import {type ConfigurationContent} from '@lovagepond/core';
import {DEFAULT_GATE_POLICY, type GatePolicy} from './sidecar_types.js';

/**
 * @param content an accepted configuration
 * @param poolName the sidecar's pool
 * @returns the gate's policy; the defaults if the pool is not configured
 */
export function readGatePolicy(
  content: ConfigurationContent,
  poolName: string,
): GatePolicy {
  const pool = content.pools.find(({name}) => name === poolName);
  const workspaces = new Map(
    content.workspaces.map(({name, weight, priority, maxQueuedTokens}) => [
      name,
      {weight, priority, maxQueuedTokens},
    ]),
  );
  if (!pool) return {...DEFAULT_GATE_POLICY, workspaces};
  const {loadBound, reuseWeight, maxHoldMs} = pool;
  const {prefillTokensPerSecond, decodeTokensPerSecond} = pool;
  return {
    loadBound,
    reuseWeight,
    maxHoldMs,
    prefillTokensPerSecond,
    decodeTokensPerSecond,
    workspaces,
  };
}
