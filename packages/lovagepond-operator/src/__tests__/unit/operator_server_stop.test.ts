import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {type Logger} from '@lovagepond/core';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {AdministrationServer, DEFAULT_OPERATOR_SETTINGS} from '../../index.js';
import {FakeAdministration} from './fake_administration.js';

const HOST = '127.0.0.1';
const TOKEN = 'test-token';
const LIMIT_MS = 5_000;
const SILENT: Logger = {debug() {}, info() {}, warn() {}, error() {}};
const BODY = JSON.stringify({pools: [{name: 'chat', kind: 'engine'}]});
const CHANGE =
  'PUT /v1/configuration HTTP/1.1\r\nHost: x\r\n' +
  `Authorization: Bearer ${TOKEN}\r\n` +
  'Operation-Id: op-1\r\nIf-Match: "0"\r\n' +
  `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

let administration: FakeAdministration;
let server: AdministrationServer;
let port = 0;
let sockets: Socket[] = [];

beforeEach(async () => {
  administration = new FakeAdministration();
  const settings = {...DEFAULT_OPERATOR_SETTINGS, port: 0, token: TOKEN};
  server = new AdministrationServer(administration, settings, SILENT);
  port = await server.start();
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  sockets = [];
  await server.stop();
});

interface Peer {
  readonly socket: Socket;
  /** What it has received. */
  readonly text: () => string;
  readonly closed: Promise<unknown>;
}

async function open(sent: string): Promise<Peer> {
  const socket = connect(port, HOST);
  sockets.push(socket);
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  socket.on('error', err => (text += String(err)));
  const closed = once(socket, 'close');
  await once(socket, 'connect');
  socket.write(sent);
  await new Promise(resolve => setTimeout(resolve, 50));
  return {socket, text: () => text, closed};
}

// Guards against a member that stays until it is killed, as Node's own stop
// waits without a limit for connections that never send a whole request.
it.each([
  ['says nothing', ''],
  ['sends half a head', CHANGE.slice(0, 40)],
  ['sends half a body', CHANGE.slice(0, -10)],
])('stops while a connection %s', async (_what, sent) => {
  const {closed} = await open(sent);
  await server.drain(100);
  await server.stop();
  await closed;
});

// Guards against a change whose caller gets a reset instead of an answer, and
// one that is made although its caller was told otherwise.
it('refuses an unfinished change when the drain begins', async () => {
  const {socket, text, closed} = await open(CHANGE.slice(0, -10));
  const drained = server.drain(LIMIT_MS);
  await expect.poll(text).toMatch(/^HTTP\/1.1 503 [^]*"kind":"notReady"/);
  expect(text()).toMatch(/connection: close/i);
  socket.write(CHANGE.slice(-10));
  expect(await drained).toEqual({unfinished: 0});
  await closed;
  expect(text()).not.toContain('Error');
  expect(administration.revisions).toHaveLength(1);
});

it('answers a change that is under way when the drain begins', async () => {
  let accept = (): void => {};
  const accepted = new Promise<void>(resolve => (accept = resolve));
  const change = administration.change.bind(administration);
  administration.change = async req => {
    await accepted;
    return change(req);
  };
  const {text, closed} = await open(CHANGE);
  const drained = server.drain(LIMIT_MS);
  accept();
  expect(await drained).toEqual({unfinished: 0});
  await closed;
  expect(text()).toMatch(/^HTTP\/1.1 200 [^]*connection: close/i);
  expect(administration.revisions).toHaveLength(2);
});

// Guards against an operator who gets a reset and doesn't learn that the change
// may be made.
it('says that the outcome is unknown when the drain ends before', async () => {
  administration.change = () => new Promise(() => undefined);
  const {text, closed} = await open(CHANGE);
  expect(await server.drain(300)).toEqual({unfinished: 0});
  await closed;
  expect(text()).toMatch(/"kind":"outcomeUnknown"/);
});
