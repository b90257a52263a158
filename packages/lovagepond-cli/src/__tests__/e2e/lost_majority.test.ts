import {rmSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {useThreeMembers} from './three_members.js';

const SHOW = ['workspaces', 'show', 'demo'];

describe('a control member without a majority', () => {
  const fleet = useThreeMembers();

  // Two of three members crash, and one of them restarts with an empty disk.
  // Neither this member nor the survivor can confirm the newest revision.
  // Without a majority check the empty member denies that the workspace exists,
  // and the survivor returns a configuration that may be stale.
  it('answers no read of the configuration', async () => {
    expect(await fleet.ctl(...SHOW)).toMatchObject({name: 'demo'});
    const [first, emptied] = fleet.namesOf('control');
    for (const name of [first, emptied]) {
      await fleet.get(name!).end('SIGKILL');
    }
    const settings = fleet.get(emptied!).settings ?? {};
    const {dataFolder = ''} = settings['platform'] ?? {};
    rmSync(dataFolder, {recursive: true});
    await fleet.restart(emptied!, {waits: false});
    const asked = fleet.ctl(...SHOW, '--timeout', '2');
    await expect(asked).rejects.toThrow(/no majority confirms/i);
  });
});
