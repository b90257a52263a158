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

describe('a first choice that joined recently', () => {
  // The chat began on "old" before "young" joined and became its first choice.
  // "young" must redirect the request to the server with the context, and serve
  // the chat once it is warm itself.
  it('redirects an unknown chat to its former first choice', () => {
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

  // The former first choice has lost the context too. It must redirect the chat
  // to its first choice: rebuilding it would concentrate chats on the oldest
  // servers.
  it('gets back a chat that is cold at its former first choice', () => {
    const [back] = makeGate('old').offer(makeOffer('old', 2, ['old']), 0);
    expect(back).toMatchObject({kind: 'refuse', pointer: 'young'});
    const [served] = makeGate('young').offer(makeOffer('young', 3, []), 1);
    expect(served).toMatchObject({kind: 'accept'});
  });
});
