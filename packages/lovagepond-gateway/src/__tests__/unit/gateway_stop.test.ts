import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {type LogFields, type Logger} from '@lovagepond/core';
import {
  beginStream,
  GatewayHarness,
  KEY,
  NAMES,
  type Script,
  silentLog,
} from './gateway_harness.js';

interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

let harness: GatewayHarness | undefined;
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  harness?.stop();
  harness = undefined;
});

function collectLog(): {readonly lines: LogLine[]; readonly log: Logger} {
  const lines: LogLine[] = [];
  const collect = (message: string, fields: LogFields = {}): void => {
    lines.push({message, fields});
  };
  return {lines, log: {...silentLog, info: collect, warn: collect}};
}

function headOf(path: string, id: string, more = ''): string {
  return (
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\n` +
    `${NAMES.requestId}: ${id}\r\n${NAMES.apiKey}: ${KEY}\r\n${more}\r\n`
  );
}

/** Opens a connection and sends the text; nothing is read. */
function send(text: string): Socket {
  const socket = connect(harness!.server.port, '127.0.0.1');
  socket.on('error', () => undefined);
  sockets.push(socket);
  socket.pause();
  socket.write(text);
  return socket;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('the log of a gateway', () => {
  // Guards against requests that a stopped process cuts without a trace.
  it('tells what each request waited for that its end cuts', async () => {
    const {lines, log} = collectLog();
    const script: Script = (req, res) => {
      if (req.url !== '/talk/begun') return;
      beginStream(req, res);
      res.write('id: 1\ndata: a\n\n');
    };
    harness = await GatewayHarness.start([script], {log});
    send(headOf('/read/body', 'body', 'Content-Length: 10\r\n'));
    send(headOf('/read/sent', 'sent'));
    const begun = send(headOf('/talk/begun', 'begun'));
    await once(begun.resume(), 'data');
    await until(() => harness!.arrivals.length === 2);
    harness.server.stop();
    const cut = lines.filter(
      ({message}) => message === 'request cut by the end of the process',
    );
    const phases = cut.map(({fields}) => [fields['request'], fields['phase']]);
    expect(phases.toSorted()).toEqual([
      ['begun', 'responding'],
      ['body', 'receiving'],
      ['sent', 'sent'],
    ]);
    expect(cut.map(({fields}) => fields['server']).toSorted()).toEqual([
      'server-0',
      'server-0',
      undefined,
    ]);
  });
});
