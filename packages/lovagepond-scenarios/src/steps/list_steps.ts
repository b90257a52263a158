/**
 * Steps of routers whose lists of backend servers differ.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  type KeyHasher,
  loadKeyHasher,
  makeChatText,
  type RendezvousServer,
  RendezvousTable,
} from '@lovagepond/router';
import {makeOffer} from '../world/offer_utils.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

interface Choice {
  readonly left: string;
  readonly right: string;
  /** First choice among all servers that either router lists. */
  readonly firstOfAll: string;
}

const WORKSPACE = 'gutscheinwerk';
const PERCENT = 100;

const routerLists = new WeakMap<ScenarioWorld, RendezvousServer[][]>();
const choices = new WeakMap<ScenarioWorld, Choice[]>();

Given<ScenarioWorld>(
  'a router that lists the servers {int} to {int}',
  function (first, last) {
    const servers = Array.from({length: last - first + 1}, (_, index) => ({
      name: `server-${first + index}`,
      slot: index,
    }));
    routerLists.set(this, [...(routerLists.get(this) ?? []), servers]);
  },
);

function chooseFirst(
  servers: readonly RendezvousServer[],
  hasher: KeyHasher,
): (chat: string) => string {
  const table = new RendezvousTable(servers, hasher);
  return chat => {
    const key = hasher.hash(makeChatText(WORKSPACE, chat));
    const [index = 0] = table.order(key, 1);
    return servers[index]?.name ?? '';
  };
}

When<ScenarioWorld>(
  'both routers choose a first server for {int} chats',
  async function (count) {
    const [left = [], right = []] = routerLists.get(this) ?? [];
    const hasher = await loadKeyHasher();
    const names = new Set([...left, ...right].map(server => server.name));
    const all = [...names].map((name, slot) => ({name, slot}));
    const [chooseLeft, chooseRight, chooseFromAll] = [left, right, all].map(
      servers => chooseFirst(servers, hasher),
    );
    assert.ok(chooseLeft && chooseRight && chooseFromAll);
    const results = Array.from({length: count}, (_, index) => {
      const chat = `chat-${index}`;
      return {
        left: chooseLeft(chat),
        right: chooseRight(chat),
        firstOfAll: chooseFromAll(chat),
      };
    });
    choices.set(this, results);
  },
);

Then<ScenarioWorld>(
  /^they differ on exactly the chats that want (\S+)(?: or (\S+))?$/,
  function (first: string, second: string | undefined) {
    for (const {left, right, firstOfAll} of choices.get(this) ?? []) {
      const mayDiffer = firstOfAll === first || firstOfAll === second;
      assert.equal(
        left !== right,
        mayDiffer,
        `${left}, ${right}, ${firstOfAll}`,
      );
    }
  },
);

Then<ScenarioWorld>(
  'the differing chats are between {int} and {int} percent of all',
  function (low, high) {
    const results = choices.get(this) ?? [];
    const differing = results.filter(({left, right}) => left !== right).length;
    const percent = (differing * PERCENT) / results.length;
    assert.ok(percent >= low && percent <= high, `${percent} percent`);
  },
);

Given<ScenarioWorld>(
  'the chat {string} was last served at {word}',
  function (chat, server) {
    const {gate} = this.server('engine-1');
    gate.pointers.put(WORKSPACE, chat, server, this.timeline.now);
  },
);

When<ScenarioWorld>(
  'a router sends {string} of the chat {string} to its first choice {word}',
  function (requestId, chat, server) {
    const offer = makeOffer(server, `${requestId}.1`, {requestId, chat});
    this.server(server).offer(offer);
  },
);

When<ScenarioWorld>(
  '{word} is gone, and the router sends {string} to {word} again',
  function (_gone, requestId, server) {
    const chat = 'kiosk-12';
    const offer = makeOffer(server, `${requestId}.2`, {requestId, chat});
    this.server(server).offer(offer);
  },
);

Then<ScenarioWorld>(
  '{string} was redirected from {word} to {word}',
  function (requestId, from, to) {
    const refusals = this.server(from).refusals;
    assert.equal(refusals.length, 1);
    const [refusal] = refusals;
    assert.equal(refusal?.attemptId, `${requestId}.1`);
    assert.equal(refusal.failure.kind, 'servedElsewhere');
    assert.equal(refusal.pointer, to);
  },
);

Then<ScenarioWorld>(
  'the request {string} was run by {word}',
  function (requestId, server) {
    assert.equal(this.server(server).runsOf(requestId), 1);
  },
);
