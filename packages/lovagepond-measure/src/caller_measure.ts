/**
 * Cost of callers at a router: memory per open stream and per stalled reader,
 * and processor time per relayed event.
 */
import {connect, createServer, type Socket} from 'node:net';
import {type AddressInfo} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {AnswerCheck, EventParser, fakeToken} from '@lovagepond/backend';
import {
  type ResponseSink,
  CallerServer,
  DEFAULT_CALLER_SETTINGS,
} from '@lovagepond/caller';
import {MEASURE_CLOCK} from './measure_environment.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const STREAMS = 500;
const SLOW_READERS = 100;
const RELAY_STREAMS = 50;
const RELAY_EVENTS_EACH = 1_000;
const CHECKED_EVENTS = 100_000;
const KIBIBYTE = 1024;
const COMMAND = 'npm run measure -- caller';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const encoder = new TextEncoder();

function makeEvent(requestId: string, index: number): Uint8Array {
  const choices = [{index: 0, delta: {content: fakeToken(requestId, index)}}];
  const chunk = {id: requestId, object: 'chat.completion.chunk', choices};
  return encoder.encode(`data: ${JSON.stringify(chunk)}\n\n`);
}

function requestText(chat: string): string {
  const messages = [{role: 'user', content: 'Which voucher fits?'}];
  const body = JSON.stringify({messages, stream: true});
  return [
    'POST /v1/chat/completions HTTP/1.1',
    'host: localhost',
    'content-type: application/json',
    'x-lovagepond-workspace: shop',
    `x-lovagepond-chat: ${chat}`,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** Waits for sockets and timers to settle, then measures reachable memory. */
async function usedBytes(): Promise<number> {
  for (let round = 0; round < 3; round += 1) {
    await new Promise(resolve => setTimeout(resolve, 50));
    collectGarbage();
  }
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function openSocket(port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => {
      resolve(socket);
    });
    socket.on('error', reject);
  });
}

async function openSockets(port: number, count: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (let i = 0; i < count; i += 1) sockets.push(await openSocket(port));
  return sockets;
}

/** A caller server whose answers the benchmark writes directly. */
class CallerBench {
  readonly sinks: ResponseSink[] = [];
  readonly sockets: Socket[] = [];
  readonly #server: CallerServer;

  constructor() {
    const handler = {
      handle: (_req: unknown, sink: ResponseSink): void => {
        sink.begin(200, 'text/event-stream');
        this.sinks.push(sink);
      },
    };
    const settings = {...DEFAULT_CALLER_SETTINGS, readerTimeoutMs: 600_000};
    this.#server = new CallerServer(settings, {clock: MEASURE_CLOCK, handler});
  }

  async open(count: number, reading: boolean): Promise<void> {
    await this.#server.start();
    this.sockets.push(...(await openSockets(this.#server.port, count)));
    this.sockets.forEach((socket, index) => {
      socket.write(requestText(`chat-${index}`));
      if (reading) socket.resume();
    });
    while (this.sinks.length < count) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.#server.stop();
  }
}

/** Baseline: memory of plain TCP pairs with their kernel handles. */
async function measurePlainPairs(count: number): Promise<number> {
  const accepted: Socket[] = [];
  const server = createServer(socket => accepted.push(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const before = await usedBytes();
  const {port} = server.address() as AddressInfo;
  const sockets = await openSockets(port, count);
  const used = (await usedBytes()) - before;
  for (const socket of [...sockets, ...accepted]) socket.destroy();
  server.close();
  return used / count;
}

async function measureOpenStreams(count: number): Promise<number> {
  const bench = new CallerBench();
  const before = await usedBytes();
  await bench.open(count, true);
  await Promise.all(bench.sinks.map(sink => sink.write(makeEvent('r', 0))));
  const used = (await usedBytes()) - before;
  await bench.close();
  return used / count;
}

/** @returns bytes retained per stalled reader, and bytes accepted for it */
async function measureSlowReaders(
  count: number,
  offeredBytes: number,
): Promise<{used: number; taken: number}> {
  const bench = new CallerBench();
  const before = await usedBytes();
  await bench.open(count, false);
  const event = makeEvent('r', 0);
  let taken = 0;
  for (const sink of bench.sinks) {
    void (async () => {
      for (let sent = 0; sent < offeredBytes; sent += event.length) {
        await sink.write(event);
        taken += event.length;
      }
    })();
  }
  const used = (await usedBytes()) - before;
  await bench.close();
  return {used: used / count, taken: taken / count};
}

function cpuMicros(since: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(since);
  return user + system;
}

async function relay(
  writers: readonly ((event: Uint8Array) => Promise<void>)[],
): Promise<number> {
  const event = makeEvent('request-0', 0);
  const start = process.cpuUsage();
  for (let round = 0; round < RELAY_EVENTS_EACH; round += 1) {
    await Promise.all(writers.map(write => write(event)));
    // One event per stream and turn of the event loop, like engines' steps.
    await new Promise(resolve => setImmediate(resolve));
  }
  return cpuMicros(start) / (RELAY_EVENTS_EACH * writers.length);
}

async function measureRelay(): Promise<number> {
  const bench = new CallerBench();
  await bench.open(RELAY_STREAMS, true);
  const micros = await relay(bench.sinks.map(sink => e => sink.write(e)));
  await bench.close();
  return micros;
}

async function measurePlainRelay(): Promise<number> {
  const accepted: Socket[] = [];
  const server = createServer(socket => accepted.push(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const sockets = await openSockets(port, RELAY_STREAMS);
  for (const socket of sockets) socket.resume();
  const writers = accepted.map(socket => (event: Uint8Array) => {
    socket.write(event);
    return Promise.resolve();
  });
  const micros = await relay(writers);
  for (const socket of [...sockets, ...accepted]) socket.destroy();
  server.close();
  return micros;
}

function measureEventCheck(): number {
  const check = new AnswerCheck('request-0');
  const parser = new EventParser(64 * KIBIBYTE);
  const chunk = Buffer.from(makeEvent('request-0', 0));
  const start = process.cpuUsage();
  for (let i = 0; i < CHECKED_EVENTS; i += 1) {
    for (const event of parser.push(chunk) ?? []) check.inspect(event);
  }
  return cpuMicros(start) / CHECKED_EVENTS;
}

function kib(bytes: number): number {
  return roundTo(bytes / KIBIBYTE, 1);
}

async function measureMemory(): Promise<MeasureSection> {
  const plain = await measurePlainPairs(STREAMS);
  const open = await measureOpenStreams(STREAMS);
  const little = await measureSlowReaders(SLOW_READERS, 4_000 * KIBIBYTE);
  const much = await measureSlowReaders(SLOW_READERS, 16_000 * KIBIBYTE);
  return {
    title: 'Memory for one caller connection',
    columns: [
      'case',
      'KiB each',
      'KiB offered',
      'KiB accepted from the producer',
    ],
    rows: [
      ['plain TCP pair, both ends', kib(plain), 0, 0],
      ['open stream, with its caller', kib(open), 0, 0],
      ['reader takes nothing', kib(little.used), 4_000, kib(little.taken)],
      ['reader takes nothing', kib(much.used), 16_000, kib(much.taken)],
    ],
    notes: [
      COMMAND,
      `${STREAMS} streams, ${SLOW_READERS} slow readers; JS heap and external ` +
        "memory after collection, with callers' ends, without kernel buffers",
      'accepted from the producer: includes data in kernel buffers',
    ],
  };
}

async function measureCpu(): Promise<MeasureSection> {
  const plain = await measurePlainRelay();
  const front = await measureRelay();
  const checked = measureEventCheck();
  return {
    title: 'Processor time per relayed event',
    columns: ['step', 'µs each', 'cores for all 1.5 million events/s'],
    rows: [
      ['plain socket write, both ends', plain],
      ['router: write to the caller, both ends', front],
      ["sidecar: parse and check an engine's event", checked],
    ].map(([step, micros]) => [
      String(step),
      roundTo(Number(micros), 2),
      roundTo(Number(micros) * 1.5, 1),
    ]),
    notes: [
      COMMAND,
      `${RELAY_STREAMS} streams of ${RELAY_EVENTS_EACH} events, one for each ` +
        "stream and turn; includes callers' ends in the same process",
      `event of ${makeEvent('request-0', 0).length} bytes; ` +
        `${CHECKED_EVENTS} events checked`,
    ],
  };
}

/** @returns memory per connection and processor time per event */
export async function measureCaller(): Promise<MeasureSection[]> {
  return [await measureMemory(), await measureCpu()];
}
