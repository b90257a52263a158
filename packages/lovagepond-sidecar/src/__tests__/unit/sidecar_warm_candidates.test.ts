import {Random} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {DEFAULT_GATE_SETTINGS, type Offer, SidecarGate} from '../../index.js';

const CHAT = {workspace: 'bakery', chat: 'chat-1'};

function makeGate(name: string): SidecarGate {
  const gate = new SidecarGate(
    {...DEFAULT_GATE_SETTINGS, backendServer: name, incarnation: name},
    new Random(7),
  );
  gate.cache.reset();
  return gate;
}

function makeOffer(to: string, attempt: number, named: string[]): Offer {
  return {
    ...CHAT,
    requestId: 'request-1',
    attemptId: `attempt-${attempt}`,
    incarnation: to,
    tokens: 600,
    priority: 5,
    deadlineAt: Infinity,
    nonRepeatable: false,
    revision: 0,
    firstChoice: 'young',
    warmCandidates: named,
    handOvers: 0,
    poolMeanTokens: 0,
  };
}

describe('a young first choice', () => {
  // The caller's chat began on "old" before "young" joined and became its
  // first choice. Asked first, "young" must send the request to where the
  // context is; asked again, or when it is warm itself, it must serve it.
  it('sends a chat that it never saw to its former home', () => {
    const young = makeGate('young');
    const [sent] = young.offer(makeOffer('young', 1, ['old']), 0);
    expect(sent).toMatchObject({
      kind: 'refuse',
      failure: {kind: 'servedElsewhere'},
      pointer: 'old',
    });
    const old = makeGate('old');
    old.cache.apply(0, CHAT.workspace, CHAT.chat, 500);
    const [served] = old.offer(makeOffer('old', 2, ['old']), 1);
    expect(served).toMatchObject({kind: 'accept'});
    young.cache.apply(0, CHAT.workspace, CHAT.chat, 500);
    const [warm] = young.offer(makeOffer('young', 3, ['old']), 2);
    expect(warm).toMatchObject({kind: 'accept'});
  });

  // The former home has lost the context too. Rebuilt there, chats would pile
  // up on the oldest servers: it goes back, and is served at the first choice.
  it('gets a chat back that is cold at its former home as well', () => {
    const [back] = makeGate('old').offer(makeOffer('old', 2, ['old']), 0);
    expect(back).toMatchObject({kind: 'refuse', pointer: 'young'});
    const [served] = makeGate('young').offer(makeOffer('young', 3, []), 1);
    expect(served).toMatchObject({kind: 'accept'});
  });
});
