import {type CapacityDescription} from '@lovagepond/load';
import {afterEach, describe, expect, it} from 'vitest';
import {type ServerState} from '../../gateway_server_state.js';
import {
  answer,
  beginStream,
  clock,
  GatewayHarness,
  NAMES,
  type Script,
} from './gateway_harness.js';

const TOKEN_DELAY_MS = 30;

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
});

function state(): ServerState {
  return harness!.gatewayFleet.find('server-0')!;
}

function estimates(): CapacityDescription {
  return state().capacity.describe(clock.now());
}

const slowed: Script = (req, res) => {
  res.setHeader(NAMES.serverLoad, '0,0,4,300');
  answer(req, res, 200, 'whole');
};

const streaming: Script = (req, res) => {
  beginStream(req, res);
  setTimeout(() => {
    res.write('id: 1\ndata: first\n\n');
  }, TOKEN_DELAY_MS);
  setTimeout(() => {
    res.end('id: 2\ndata: last\n\n');
  }, 2 * TOKEN_DELAY_MS);
};

const failing: Script = (req, res) => {
  answer(req, res, 500, 'failed');
};

async function prompt(): Promise<void> {
  await harness!.call({
    path: '/prompt/a',
    method: 'POST',
    headers: {
      [NAMES.promptParts]: 'shared:2000,own:1000',
      [NAMES.tokenUsage]: '3000,100',
    },
  });
}

describe('a gateway', () => {
  // Estimates that no response reaches leave every server at its default.
  it('learns the speed of a service from its responses', async () => {
    harness = await GatewayHarness.start([slowed]);
    await harness.call({path: '/read/a'});
    const {slowdown, serviceMs} = estimates();
    expect(slowdown).toBeGreaterThan(1);
    expect(slowdown).toBeLessThanOrEqual(3);
    expect(Object.keys(serviceMs)).toEqual(['read']);
  });

  it('learns the speed of an engine from its streams', async () => {
    harness = await GatewayHarness.start([streaming]);
    await prompt();
    const {prefillTokensPerMs, runMs, serviceMs} = estimates();
    expect(prefillTokensPerMs).not.toBe(40);
    expect(Object.keys(runMs)).toEqual(['prompt']);
    expect(serviceMs).toEqual({});
    expect(state().pendingPrefillTokens).toBe(0);
  });

  it('learns nothing from error responses', async () => {
    harness = await GatewayHarness.start([failing]);
    await prompt();
    await harness.call({path: '/read/a'});
    expect(estimates()).toEqual({
      prefillTokensPerMs: 40,
      slowdown: 1,
      serviceMs: {},
      runMs: {},
    });
    expect(state().pendingPrefillTokens).toBe(0);
  });
});
