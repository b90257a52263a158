/**
 * Cost of the records with which gateways tell each other where streams began.
 */
import {
  decodeDatagram,
  PeerAddresses,
  StreamDirectory,
} from '@lovagepond/gateway/deciders';
import {loadKeyHasher} from '@lovagepond/router';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const GATEWAYS = [9, 33, 70, 370] as const;
const RECORDS = 20_000;
const WARM_UP_RECORDS = 5_000;

/** Streams that begin per second at all gateways of the largest deployment. */
const STREAMS_PER_SECOND = 3_200;
const LARGEST_DEPLOYMENT = 370;

const TIMEOUT_MS = 5_000;
const UDP_HEADER_BYTES = 28;
const ORIGIN = {pool: 'engines', version: 'v1.1'};

interface RecordCost {
  readonly sendMicroseconds: number;
  readonly receiveMicroseconds: number;
  readonly datagrams: number;
  readonly bytes: number;
}

function recordAll(
  directory: StreamDirectory,
  count: number,
  prefix: string,
): void {
  for (let nth = 0; nth < count; nth += 1) {
    const key = directory.keyOf('workspace', `${prefix}${nth}`);
    directory.record(key, ORIGIN, TIMEOUT_MS, nth);
  }
}

async function measureRecords(gateways: number): Promise<RecordCost> {
  const hasher = await loadKeyHasher();
  const peers = new PeerAddresses('gateway-0', hasher);
  const listed = Array.from({length: gateways}, (_, at) => ({
    node: `gateway-${at}`,
    address: `10.1.0.${at}:7355`,
  }));
  peers.apply({whole: true, peers: listed}, 0);
  const sent: Uint8Array[] = [];
  const send = (_address: string, bytes: Uint8Array): void => {
    sent.push(bytes);
  };
  const sender = new StreamDirectory({hasher, peers, send});
  recordAll(sender, WARM_UP_RECORDS, 'warm');
  sent.length = 0;
  const started = performance.now();
  recordAll(sender, RECORDS, 'id');
  const sentAt = performance.now();
  const receiver = new StreamDirectory({hasher, peers, send});
  for (const bytes of sent) {
    const datagram = decodeDatagram(bytes);
    if (datagram) receiver.receive(datagram, '10.1.0.1:7355', 0);
  }
  const receivedAt = performance.now();
  return {
    sendMicroseconds: ((sentAt - started) * 1_000) / RECORDS,
    receiveMicroseconds: ((receivedAt - sentAt) * 1_000) / sent.length,
    datagrams: sent.length / RECORDS,
    bytes: (sent[0]?.length ?? 0) + UDP_HEADER_BYTES,
  };
}

/** @returns processor time and bytes of a stream's record */
export async function measureStreamRecords(): Promise<MeasureSection[]> {
  const rows: (readonly number[])[] = [];
  const ownStreams = STREAMS_PER_SECOND / LARGEST_DEPLOYMENT;
  for (const gateways of GATEWAYS) {
    const cost = await measureRecords(gateways);
    rows.push([
      gateways,
      cost.datagrams,
      cost.bytes,
      roundTo(cost.sendMicroseconds, 1),
      roundTo(cost.receiveMicroseconds, 1),
      Math.round(ownStreams * cost.datagrams * cost.bytes),
    ]);
  }
  return [
    {
      title: 'Records of streams between gateways',
      columns: [
        'gateways',
        'datagrams a stream',
        'bytes each',
        'µs to record and send',
        'µs to receive',
        `bytes/s each way at ${roundTo(ownStreams, 1)} streams/s`,
      ],
      rows,
      notes: [
        'npm run measure -- stream-records',
        `${RECORDS} streams each; bytes with IP and UDP headers; without the ` +
          'system calls',
      ],
    },
  ];
}
