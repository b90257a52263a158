import {RETRY_ANSWER_MS} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  type CommandStamp,
  encodeCommand,
  RETRIES_COMMAND,
  RETRY_LOG_VERSION,
} from '../../control_commands.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';
import {retriesLeft} from '../../retry_decision.js';
import {type RetryGrantPayload} from '../../retry_grants.js';
import {RetryIssuer} from '../../retry_issuer.js';
import {RetryRequestCounts} from '../../retry_request_counts.js';

const {v1} = lovagepond;
const ALLOWANCE = {fraction: 0.2, windowMs: 10_000, slack: 64};
/** A sixteenth of the slack is for gateways that control doesn't answer. */
const GRANTABLE = 60;

let now = 100_000;
let commitMs = 5;
let logVersion = RETRY_LOG_VERSION;
let leads = true;
let machine: ControlStateMachine;

function stampAt(timeMs: number): CommandStamp {
  return {timeMs, wallTimeMs: 0, term: 1};
}

function makeMachine(): ControlStateMachine {
  return new ControlStateMachine(CONTROL_DEFAULTS, () => now);
}

function makeIssuer(): RetryIssuer {
  return new RetryIssuer(CONTROL_DEFAULTS, {
    clock: {now: () => now, wallTime: () => now},
    machine,
    proposer: {
      leads: () => leads,
      propose: (_command, payload) => {
        now += commitMs;
        const grant = payload as RetryGrantPayload;
        const stamp = stampAt(Math.floor(now));
        machine.apply(encodeCommand(RETRIES_COMMAND, grant, stamp), 1);
        return Promise.resolve({kind: 'committed', value: {} as never});
      },
    },
    hasTakenOver: () => true,
    oldestLogVersion: () => logVersion,
    forwardToLeader: () =>
      Promise.resolve(new v1.RetryResponse({intervalMs: 77})),
  });
}

async function ask(
  issuer: RetryIssuer,
  count: number,
): Promise<{answered: boolean; granted: number}> {
  const wanted = [{pool: 'p', count}];
  const req = new v1.RetryRequest({node: 'g', wanted});
  const {answered, granted} = await issuer.take(req);
  return {answered, granted: granted[0]?.count ?? 0};
}

beforeEach(() => {
  [now, commitMs, logVersion, leads] = [100_000, 5, RETRY_LOG_VERSION, true];
  machine = makeMachine();
});

describe('RetryIssuer', () => {
  it('grants the slack once in a window', async () => {
    const issuer = makeIssuer();
    expect(await ask(issuer, 50)).toEqual({answered: true, granted: 50});
    expect((await ask(issuer, 50)).granted).toBe(GRANTABLE - 50);
    expect((await ask(issuer, 1)).granted).toBe(0);
    const state = issuer.describe(now);
    expect(state.grantedByPool).toEqual({p: GRANTABLE});
    expect(state.refusedByPool).toEqual({p: 41});
    expect(state.leftByPool).toEqual({p: 0});
    now += 11_000;
    expect((await ask(issuer, 70)).granted).toBe(GRANTABLE);
  });

  // Guards against a leader that doesn't know what the former one granted.
  it('counts the grants of former leaders', async () => {
    await ask(makeIssuer(), 40);
    expect((await ask(makeIssuer(), 40)).granted).toBe(GRANTABLE - 40);
  });

  // Guards against a group that forgets its grants as all members stop.
  it('counts the grants in a snapshot, from when it was read', async () => {
    await ask(makeIssuer(), 40);
    const bytes = machine.snapshot();
    now = 5;
    machine = makeMachine();
    machine.restore(bytes);
    expect((await ask(makeIssuer(), 40)).granted).toBe(GRANTABLE - 40);
    now += 11_000;
    expect((await ask(makeIssuer(), 70)).granted).toBe(GRANTABLE);
  });

  // Guards against a grant that reaches its gateway long after it was decided.
  it('does not hand out what took too long to store', async () => {
    const issuer = makeIssuer();
    commitMs = RETRY_ANSWER_MS;
    expect(await ask(issuer, 10)).toEqual({answered: false, granted: 0});
    commitMs = 1;
    expect((await ask(issuer, 70)).granted).toBe(GRANTABLE - 10);
  });

  it('grants nothing while a member could not read the log', async () => {
    logVersion = RETRY_LOG_VERSION - 1;
    expect(await ask(makeIssuer(), 1)).toEqual({answered: false, granted: 0});
  });

  it('forwards questions while another member leads', async () => {
    leads = false;
    const req = new v1.RetryRequest({node: 'g', wanted: []});
    expect((await makeIssuer().take(req)).intervalMs).toBe(77);
  });

  // Guards against numbers that are added up when a report is sent again.
  it('counts each request of a gateway once', async () => {
    const issuer = makeIssuer();
    const counts = Array.from({length: 20}, () => 10);
    for (const uptimeMs of [6_000, 6_100, 6_200]) {
      const pools = [{pool: 'p', firstSpan: 0, counts}];
      issuer.noteRequests({process: 1, uptimeMs, pools}, now);
      now += 100;
    }
    const {granted} = await ask(issuer, 200);
    expect(granted).toBeGreaterThan(GRANTABLE + 0.2 * 200 * 0.8);
    expect(granted).toBeLessThanOrEqual(GRANTABLE + 0.2 * 200);
  });
});

// Guards against requests that count in a later window than they came in, as their
// report was under way for long.
it('places requests by the fastest report of their gateway', () => {
  const counts = new RetryRequestCounts(20_000);
  const report = (uptimeMs: number, first: number, count: number): void => {
    const pools = [{pool: 'p', first, counts: [count]}];
    counts.note({process: 1, uptimeMs, pools}, now);
  };
  report(1_000, 0, 1);
  now += 2_000;
  report(1_500, 5, 100);
  now += 3_000;
  const requests = counts.counterOf('p', now);
  expect(requests(now - 5_000, now - 3_000)).toBe(100);
  expect(requests(now - 3_500, now)).toBe(0);
});

// Guards against grants that requests allow which have left the window by the time
// at which the retries arrive.
it('leaves no retries for windows that begin after the requests', () => {
  const requests = (fromMs: number, toMs: number): number =>
    fromMs < 0 && toMs > 0 ? 1_000 : 0;
  expect(retriesLeft(ALLOWANCE, requests, [], 300)).toBe(GRANTABLE + 200);
  expect(retriesLeft(ALLOWANCE, requests, [], 9_500)).toBe(GRANTABLE);
});
