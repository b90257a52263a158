import {Random} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {describe, expect, it} from 'vitest';
import {type ChoiceRequest, GatewayChoice} from '../../gateway_choice.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {CONTENT} from './gateway_harness.js';

const RATE = 40;
const FETCH_RATE = 1_600;

describe('GatewayChoice for engines', () => {
  const parts = [
    {id: 'a', tokens: 2_000},
    {id: 'b', tokens: 6_000},
    {id: 'own', tokens: 500},
  ];
  const sharedIds = ['a', 'b'];

  function makeServer(name: string): ServerState {
    return new ServerState(makeBackendServer(name));
  }

  function request(servers: readonly ServerState[]): ChoiceRequest {
    const [pool] = CONTENT.pools;
    return {
      pool: {...pool!, loadBound: 2},
      servers,
      holders: servers,
      listed: servers,
      parts,
      sticky: true,
      targetLatencyMs: 600,
      repeatable: false,
      tried: new Set(),
    };
  }

  async function makeChoice(): Promise<GatewayChoice> {
    const settings = {availabilityZone: 'a', rate: new PrefillRate(RATE)};
    return new GatewayChoice(settings, await loadKeyHasher(), new Random(1));
  }

  it('selects the engine warmed by another gateway', async () => {
    const choice = await makeChoice();
    for (const name of ['x', 'y', 'z']) {
      const servers = ['x', 'y', 'z'].map(makeServer);
      const warm = servers.find(({server}) => server.name === name)!;
      warm.noteWarm(sharedIds, 0);
      expect(choice.choose(request(servers), 0)?.state).toBe(warm);
    }
  });

  // The engine that holds the prompt has a second of other prefill work. The
  // first token would be late there; another engine computes it in time.
  it('avoids a warm engine that would be late', async () => {
    const choice = await makeChoice();
    const servers = ['x', 'y'].map(makeServer);
    servers[0]!.noteWarm(sharedIds, 0);
    servers[0]!.noteRemotePrefill(200 * RATE, RATE, 0);
    expect(choice.choose(request(servers), 0)?.state).toBe(servers[0]);
    servers[0]!.noteRemotePrefill(800 * RATE, RATE, 0);
    expect(choice.choose(request(servers), 0)?.state).toBe(servers[1]);
  });

  it('selects the same home for a cold prompt in any order', async () => {
    const choice = await makeChoice();
    const names = ['x', 'y', 'z'];
    const chosen = names.map((_, turn) => {
      const order = [...names.slice(turn), ...names.slice(0, turn)];
      return choice.choose(request(order.map(makeServer)), 0)?.state.server
        .name;
    });
    expect(new Set(chosen).size).toBe(1);
  });

  it('avoids a server that failed, unless all did', async () => {
    const choice = await makeChoice();
    const servers = ['x', 'y'].map(makeServer);
    servers[0]!.noteWarm(sharedIds, 0);
    servers[0]!.noteAttemptFailure(0);
    expect(choice.choose(request(servers), 10)?.state).toBe(servers[1]);
    servers[1]!.noteAttemptFailure(0);
    expect(choice.choose(request(servers), 10)?.state).toBe(servers[0]);
  });

  function fetching(servers: readonly ServerState[]): ChoiceRequest {
    const req = request(servers);
    const pool = {...req.pool, contextFetchTokensPerMs: FETCH_RATE};
    return {...req, pool};
  }

  // A server that holds a prompt is busy with others, or is draining. Where
  // servers can fetch context from each other, no prefill is repeated.
  it('fetches context from a busy or draining engine', async () => {
    const choice = await makeChoice();
    const servers = ['x', 'y'].map(makeServer);
    const [warm, idle] = servers;
    warm!.noteWarm(sharedIds, 0);
    expect(choice.choose(fetching(servers), 1)?.state).toBe(warm);
    warm!.noteRemotePrefill(400 * RATE, RATE, 1);
    const busy = choice.choose(fetching(servers), 1);
    expect(busy).toMatchObject({state: idle, fetch: {tokens: 8_000}});
    expect(busy?.fetch?.source).toBe(warm);
    const leaving = {...fetching(servers), servers: [idle!]};
    expect(choice.choose(leaving, 1)?.fetch?.source).toBe(warm);
  });

  // The prompt was just sent to a server, and its prefill is not done. A fetch
  // from that server would return nothing, and the prefill would be repeated.
  it('fetches only context whose prefill is done', async () => {
    const choice = await makeChoice();
    const servers = ['x', 'y'].map(makeServer);
    const [reading, idle] = servers;
    reading!.noteWarm(sharedIds, 200);
    const leaving = {...fetching(servers), servers: [idle!]};
    expect(choice.choose(leaving, 100)?.fetch?.source).toBeUndefined();
    expect(choice.choose(leaving, 201)?.fetch?.source).toBe(reading);
  });

  it('fetches nothing where servers do not support it', async () => {
    const choice = await makeChoice();
    const servers = ['x', 'y'].map(makeServer);
    servers[0]!.noteWarm(sharedIds, 0);
    const leaving = {...request(servers), servers: [servers[1]!]};
    expect(choice.choose(leaving, 1)?.fetch?.source).toBeUndefined();
  });
});
