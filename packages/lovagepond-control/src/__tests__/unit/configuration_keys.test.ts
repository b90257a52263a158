import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {type AnyChange} from '../../configuration_changer.js';
import {type ChangeAnswer} from '../../control_administration.js';
import {ControlCluster, settle} from '../model/control_cluster.js';

const KEYED = {workspaces: [{name: 'w', apiKeys: ['k']}]};
const DELETED = {kind: 'delete', section: 'workspaces', name: 'w'} as const;
const EMPTIED = {
  kind: 'put',
  section: 'workspaces',
  object: {name: 'w'},
} as const;

let cluster: ControlCluster;
let operations = 0;

beforeEach(async () => {
  vi.useFakeTimers();
  cluster = new ControlCluster();
  await cluster.start();
});

afterEach(async () => {
  await cluster.stop();
  vi.useRealTimers();
});

async function change(wanted: AnyChange): Promise<ChangeAnswer | undefined> {
  const {changer, machine} = await cluster.untilLeader();
  const {revision} = machine.configuration.current.read();
  operations += 1;
  const req = {
    operationId: `o${operations}`,
    baseRevision: revision,
    change: wanted,
    dryRun: false,
  };
  return settle(changer.change(req));
}

function replace(content: unknown): AnyChange {
  return {kind: 'replace', content} as AnyChange;
}

// Guards against a change that lets all requests in unnoticed, as it takes away
// the last workspace with a key.
test.each([
  ['deletes the last workspace', DELETED],
  ['takes its keys', EMPTIED],
  ['has no workspaces', replace({workspaces: []})],
])('a change that %s must say whether keys are needed', async (_what, made) => {
  expect(await change(replace(KEYED))).toMatchObject({kind: 'accepted'});
  expect(await change(made)).toMatchObject({
    kind: 'invalid',
    faults: [{place: 'requiresApiKeys'}],
  });
  const said = {...KEYED, requiresApiKeys: true};
  expect(await change(replace(said))).toMatchObject({kind: 'accepted'});
  expect(await change(made)).toMatchObject({
    kind: made.kind === 'replace' ? 'invalid' : 'accepted',
  });
});

test.each([true, false])('a change may say %s', async requiresApiKeys => {
  expect(await change(replace(KEYED))).toMatchObject({kind: 'accepted'});
  const said = replace({workspaces: [], requiresApiKeys});
  expect(await change(said)).toMatchObject({kind: 'accepted'});
});

test('a revision without keys can be restored', async () => {
  expect(await change(replace({}))).toMatchObject({kind: 'accepted'});
  expect(await change(replace(KEYED))).toMatchObject({kind: 'accepted'});
  const restored = await change({kind: 'restore', revision: 1});
  expect(restored).toMatchObject({kind: 'accepted'});
});
