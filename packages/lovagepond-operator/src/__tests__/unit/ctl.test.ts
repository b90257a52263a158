import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Logger} from '@lovagepond/core';
import {EXIT_CODE, type ExitCode} from '@lovagepond/process';
import {Command} from 'commander';
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  AdministrationServer,
  type CtlIo,
  DEFAULT_OPERATOR_SETTINGS,
  registerCtl,
} from '../../index.js';
import {FakeAdministration} from './fake_administration.js';

const SILENT: Logger = {debug() {}, info() {}, warn() {}, error() {}};
const TOKEN = 'test-token';

/** Virtual time and captured output; `onWait` runs at each wait. */
class FakeIo implements CtlIo {
  out = '';
  err = '';
  exitCode: ExitCode | undefined;
  onWait: () => void = () => {};
  readonly files = new Map([['token', `${TOKEN}\n`]]);
  #now = 0;
  #ids = 0;

  now(): number {
    return this.#now;
  }

  wait(delayMs: number): Promise<void> {
    this.#now += delayMs;
    this.onWait();
    return Promise.resolve();
  }

  write(text: string): void {
    this.out += text;
  }

  writeError(text: string): void {
    this.err += text;
  }

  readFile(path: string): Promise<string> {
    return Promise.resolve(this.files.get(path)!);
  }

  setExitCode(code: ExitCode): void {
    this.exitCode = code;
  }

  createOperationId(): string {
    this.#ids += 1;
    return `id-${this.#ids}`;
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('ctl', () => {
  let member: FakeAdministration;
  let server: AdministrationServer;
  let origin: string;
  let io: FakeIo;

  beforeEach(async () => {
    member = new FakeAdministration();
    const settings = {...DEFAULT_OPERATOR_SETTINGS, port: 0, token: TOKEN};
    server = new AdministrationServer(member, settings, SILENT);
    origin = `http://127.0.0.1:${await server.start()}`;
    io = new FakeIo();
  });

  afterEach(() => server.stop());

  async function ctl(line: string, control = origin): Promise<void> {
    io.out = '';
    io.err = '';
    const program = new Command('ctl').exitOverride();
    registerCtl(program, io);
    const words = [...line.split(' '), '--token-file', 'token'];
    await program.parseAsync([...words, '--control', control], {from: 'user'});
  }

  // The first member commits the change and crashes before it sends the answer.
  // The command retries at the next member with the same operation id: it must
  // succeed, and only one revision may be made.
  it('retries a change after a lost answer with the same operation id', async () => {
    const ids: unknown[] = [];
    const losing = createServer((req, res) => {
      const {method, url, headers} = req;
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const body = method === 'GET' ? null : Buffer.concat(chunks);
        delete headers['transfer-encoding'];
        delete headers.connection;
        const options = {method: method as 'GET' | 'PUT', headers, body};
        void request(origin + url!, options).then(async answer => {
          const text = await answer.body.text();
          if (method === 'GET') return res.end(text);
          ids.push(headers['operation-id']);
          return req.socket.destroy();
        });
      });
    });
    const first = await listen(losing);
    await ctl('pools set chat kind=engine loadBound=1.4', `${first},${origin}`);
    losing.close();
    expect([io.exitCode, io.err, ids]).toEqual([0, '', ['id-1']]);
    expect(io.out).toContain('the configuration is revision 1');
    expect(member.revisions).toHaveLength(2);
    expect(member.revisions[1]!.content.pools[0]!.loadBound).toBe(1.4);
  });

  it('lists and lifts quarantines', async () => {
    member.suspects = [
      {request: 'ab12', crashes: 3, quarantinedForMs: 1_500, companions: []},
    ];
    await ctl('quarantine list');
    expect(io.out).toMatch(/ab12 +3 +2/);
    await ctl('quarantine lift ab12');
    expect(member.suspects).toEqual([]);
  });

  it('evacuates a zone and returns it to service', async () => {
    member.zones = [{zone: 'north', evacuated: false, evacuatedForMs: 0}];
    await ctl('zones evacuate north');
    await ctl('zones list');
    expect(io.out).toMatch(/north +evacuated/);
    await ctl('zones resume north');
    expect(member.zones[0]?.evacuated).toBe(false);
  });

  // Control has no leader for a while. Once one is elected, the command
  // succeeds. Without a leader until the time limit it fails with the exit code
  // UNREACHABLE and prints the operation id for a retry.
  it('waits for a leader and prints how to retry when there is none', async () => {
    member.refusal = {kind: 'notLeader', leader: ''};
    io.onWait = () => {
      if (io.now() >= 1_000) member.refusal = undefined;
    };
    await ctl('servers drain engine-1');
    expect(io.exitCode).toBe(EXIT_CODE.OK);
    expect(member.wanted.get('engine-1')).toBe('draining');
    io.onWait = () => {};
    member.refusal = {kind: 'unknown'};
    await ctl('order load-model engine-1 offers --version 7');
    expect(io.exitCode).toBe(EXIT_CODE.UNREACHABLE);
    expect(io.err).toContain('--operation-id id-2');
    expect(member.orders).toHaveLength(0);
    member.refusal = undefined;
    await ctl('order load-model engine-1 offers --operation-id id-2');
    await ctl('order load-model engine-1 offers --operation-id id-2');
    expect(member.orders).toHaveLength(1);
  });

  // The change is made, its answer is lost, and no member answers any more. The
  // command fails and prints the options for a retry. A later retry with them
  // must send the identical change, although the object exists by then with
  // added defaults, and must return the first answer.
  it('makes the same change when retried with the printed options', async () => {
    member.losesNextAnswer = true;
    await ctl('workspaces set bakery weight=2');
    expect(io.exitCode).toBe(EXIT_CODE.UNREACHABLE);
    const options = /--operation-id \S+ --base \d+/.exec(io.err)?.[0];
    member.refusal = undefined;
    await ctl('pools set chat kind=engine');
    await ctl(`workspaces set bakery weight=2 ${options}`);
    expect([io.exitCode, io.err]).toEqual([0, '']);
    expect(io.out).toContain('the configuration is revision 1');
    expect(member.revisions).toHaveLength(3);
  });

  // Two operators change revision 0, this one second. The command must fail,
  // show the change of the other operator and leave the configuration
  // unchanged.
  it('fails with a conflict that shows the other change', async () => {
    await ctl('pools set drafting kind=engine');
    await ctl('pools set chat kind=engine --base 0');
    expect(io.exitCode).toBe(EXIT_CODE.REFUSED);
    expect(io.err).toContain('+ pools/drafting');
    await ctl('pools list --json');
    expect(JSON.parse(io.out)).toHaveLength(1);
  });

  it('prints every fault of a file and changes nothing', async () => {
    const pools = [
      {name: 'a', kind: 'engine'},
      {name: 'a', kind: 'engine'},
    ];
    const workspaces = [{name: 'w'}, {name: 'w'}];
    io.files.set('cfg', JSON.stringify({pools, workspaces}));
    await ctl('apply -f cfg');
    expect(io.exitCode).toBe(EXIT_CODE.REFUSED);
    expect(io.err).toContain('pools[1].name');
    expect(io.err).toContain('workspaces[1].name');
    io.files.set('cfg', JSON.stringify({workspaces: [{name: 'w'}]}));
    await ctl('diff -f cfg');
    expect(io.out).toContain('would become revision 1');
    expect(member.revisions).toHaveLength(1);
  });

  // One router gets the new revision late. With --wait the command succeeds
  // once the router has the revision. Otherwise the command fails at its time
  // limit, and the table shows the router.
  it('waits until the revision is in force everywhere', async () => {
    await ctl('workspaces set bakery weight=2');
    const node = {role: 'router', ageMs: 0};
    member.nodes = [
      {...node, node: 'r1', revision: 1},
      {...node, node: 'r2', revision: 0},
    ];
    await ctl('convergence --wait --limit 4');
    expect(io.exitCode).toBe(EXIT_CODE.NOT_CONVERGED);
    expect(io.out).toMatch(/r2 +router +0 +no/);
    io.onWait = () => {
      member.nodes = [{...node, node: 'r2', revision: 1}];
    };
    await ctl('convergence --wait --limit 4');
    expect(io.exitCode).toBe(EXIT_CODE.OK);
  });

  it('replaces a member in one change, but not by itself', async () => {
    const view = {address: 'h:1', leader: false, voter: true};
    member.members = [{...view, memberId: 'c2'}];
    await ctl('members replace c2 c4 10.0.0.4:7402');
    expect(member.memberChanges).toEqual([
      {
        kind: 'replace',
        formerMemberId: 'c2',
        memberId: 'c4',
        address: '10.0.0.4:7402',
      },
    ]);
    await ctl('members replace c2 c2 10.0.0.4:7402');
    expect(io.exitCode).toBe(EXIT_CODE.USAGE);
    expect(member.memberChanges).toHaveLength(1);
  });

  // One control host is down. The table must show the other members and mark
  // this one as not answering. When no member answers, the command must fail.
  it('shows the status of all members, reachable or not', async () => {
    const unreachable = 'http://127.0.0.1:1';
    await ctl('status', `${unreachable},${origin}`);
    expect(io.exitCode).toBe(EXIT_CODE.OK);
    expect(io.out).toMatch(/127\.0\.0\.1:1 +- +no answer/);
    await ctl('status', unreachable);
    expect(io.exitCode).toBe(EXIT_CODE.UNREACHABLE);
  });

  it('edits labels and limits, shows lists, and rejects bad input', async () => {
    await ctl('pools set chat kind=engine labels={"tier":"gold","old":"1"}');
    await ctl('labels chat tier=silver old-');
    await ctl('workspaces set bakery');
    await ctl('limits bakery --max-queued-tokens 200000');
    await ctl('pools list');
    expect(io.out).toMatch(/chat +engine +tier=silver +1.5/);
    await ctl('workspaces list');
    expect(io.out).toMatch(/bakery +1 +5 +200000/);
    for (const list of ['history', 'servers list', 'order list', 'dump']) {
      await ctl(list);
      expect(io.exitCode).toBe(EXIT_CODE.OK);
    }
    await ctl('limits nobody --priority 3');
    expect(io.exitCode).toBe(EXIT_CODE.USAGE);
    await ctl('restore one');
    expect(io.exitCode).toBe(EXIT_CODE.USAGE);
  });
});
