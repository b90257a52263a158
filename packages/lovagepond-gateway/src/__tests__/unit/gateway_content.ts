/**
 * The configuration that gateways of tests start with.
 */
import {configurationSchema} from '@lovagepond/core';
import {KEY} from './gateway_caller.js';

const forwarding = {
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  maxAttempts: 2,
  priority: 5,
  streaming: false,
  resumable: false,
  sticky: false,
};

function kind(name: string, nonRepeatable: boolean, more: object): unknown {
  return {name, nonRepeatable, forwarding: {...forwarding, ...more}};
}

function selector(name: string): unknown {
  return {
    name,
    workspaces: ['*'],
    requestKinds: [name],
    pools: '',
    match: {host: 'shop.example', pathPrefix: `/${name}/`},
    poolWeights: [{pool: 'servers', weight: 1}],
  };
}

/**
 * Selectors `read`, `write`, `talk`, `chat` and `prompt`, each under its own
 * path.
 */
export const CONTENT = configurationSchema.parse({
  pools: [
    {
      name: 'servers',
      kind: 'service',
      warmUp: {durationMs: 3_000, maxRequestsPerSecond: 5},
    },
  ],
  workspaces: [{name: 'nord', apiKeys: [KEY]}],
  requestKinds: [
    kind('read', false, {}),
    kind('write', true, {maxAttempts: 1}),
    kind('talk', true, {streaming: true, maxAttempts: 1}),
    kind('chat', false, {streaming: true, resumable: true}),
    kind('prompt', false, {streaming: true, sticky: true}),
  ],
  selectors: ['read', 'write', 'talk', 'chat', 'prompt'].map(selector),
});
