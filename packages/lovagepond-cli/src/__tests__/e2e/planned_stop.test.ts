import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterAll, describe, expect, it} from 'vitest';
import {useThreeMembers} from './three_members.js';
import {waitUntil} from './open_chat.js';

const CHANGE = ['workspaces', 'set', 'pharmacy', 'weight=2'];
/** The drain limit of the example settings. */
const DRAIN_LIMIT_MS = 30_000;
/** Three members, one after the other. */
const TEST_TIMEOUT_MS = 4 * DRAIN_LIMIT_MS;

describe('a process that is stopped', () => {
  const fleet = useThreeMembers();
  const sockets: Socket[] = [];

  afterAll(() => {
    for (const socket of sockets) socket.destroy();
  });

  /** Opens a connection that sends and reads nothing. */
  function openSilently(name: string, section = 'member'): Socket {
    const settings = fleet.get(name).settings as Record<
      string,
      {listen?: string}
    >;
    const [host = '', port = ''] = settings[section]?.listen?.split(':') ?? [];
    const socket = connect(Number(port), host).pause();
    sockets.push(socket);
    return socket;
  }

  /** Resolves with the exit code, or fails at the drain limit. */
  async function stop(name: string): Promise<number | null> {
    const process = fleet.get(name);
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => {
        reject(new Error(`${name} did not exit within its drain limit`));
      }, DRAIN_LIMIT_MS);
    });
    try {
      return await Promise.race([process.end('SIGTERM'), limit]);
    } finally {
      clearTimeout(timer);
    }
  }

  // Guards against a control member that stays until it is killed, as routers,
  // sidecars, other members and idle peers are connected to it. A change that
  // it accepted before must be in force afterwards.
  it(
    'exits while others stay connected to it, and loses nothing',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      expect(await fleet.ctl(...CHANGE)).toMatchObject({revision: 2});
      for (const name of fleet.namesOf('control').reverse()) {
        openSilently(name);
        openSilently(name, 'administration');
        expect(await stop(name)).toBe(0);
        expect(fleet.get(name).output).toContain('"message":"ended"');
        await fleet.restart(name);
        await waitUntil(async () => {
          const held = await fleet.ctl('configuration');
          return (held as {revision: number}).revision === 2;
        });
      }
    },
  );

  it.each(['router', 'sidecar'])(
    'exits as a %s, too',
    {timeout: TEST_TIMEOUT_MS},
    async role => {
      const [name = ''] = fleet.namesOf(role);
      expect(await stop(name)).toBe(0);
      await fleet.restart(name);
    },
  );

  // Guards against a router that is killed, as a caller has connected to it but
  // sent no request.
  it(
    'exits as a router to which callers stay connected',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      const [name = ''] = fleet.namesOf('router');
      const silent = openSilently(name, 'callers');
      const halfSent = openSilently(name, 'callers');
      await Promise.all([once(silent, 'connect'), once(halfSent, 'connect')]);
      halfSent.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n');
      expect(await stop(name)).toBe(0);
      await fleet.restart(name);
    },
  );
});
